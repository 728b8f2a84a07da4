import {expect, it} from 'vitest';
import {ServerRecord} from '../forwarding/server-pool.js';
import {ReleaseRecorder} from './release-recorder.js';

const record = new ServerRecord({
	id: 'i', incarnation: 1, address: 'a', zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 1, release: 'v2',
});

// Guards against counting evidence of an earlier roll-out in the next one, and against rows that accumulate.
it.each<{revisions: Array<number | undefined>; answers: number | undefined}>([
	{revisions: [undefined, undefined], answers: undefined},
	{revisions: [5, 5, 5], answers: 3},
	{revisions: [5, 5, 9], answers: 1},
	{revisions: [5, undefined], answers: undefined},
])('counts $answers answers after outcomes under the roll-out revisions $revisions', ({revisions, answers}) => {
	let revision: number | undefined;
	const recorder = new ReleaseRecorder(() => revision);
	for (revision of revisions) {
		recorder.observe({
			service: 's', route: 'r', record, isFailed: false, latencyMs: 10,
		});
	}

	expect(recorder.collect()?.[0]?.answers).toBe(answers);
});
