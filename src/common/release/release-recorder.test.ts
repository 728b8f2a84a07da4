import {expect, it} from 'vitest';
import {ServerRecord} from '../forwarding/server-pool.js';
import {ReleaseRecorder} from './release-recorder.js';

const record = new ServerRecord({
	id: 'i', incarnation: 1, address: 'a', zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 1, release: 'v2',
});

// Guards against evidence of an earlier roll-out that counts in the next one, and rows that pile up.
it.each<{revisions: Array<number | undefined>; answers: number | undefined}>([
	{revisions: [undefined, undefined], answers: undefined},
	{revisions: [5, 5, 5], answers: 3},
	{revisions: [5, 5, 9], answers: 1},
	{revisions: [5, undefined], answers: undefined},
])('counts $answers answers after outcomes under the orders $revisions', ({revisions, answers}) => {
	let revision: number | undefined;
	const recorder = new ReleaseRecorder(() => revision);
	for (revision of revisions) {
		recorder.observe({
			service: 's', route: 'r', record, isFailed: false, latencyMs: 10,
		});
	}

	expect(recorder.collect()?.[0]?.answers).toBe(answers);
});
