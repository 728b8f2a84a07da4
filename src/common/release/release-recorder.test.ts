import {expect, it} from 'vitest';
import {ServerRecord} from '../forwarding/server-pool.js';
import {ReleaseRecorder} from './release-recorder.js';

const record = new ServerRecord({
	id: 'i', incarnation: 1, address: 'a', zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 1, release: 'v2',
});

const subject = {
	service: 's', route: 'r', record, model: undefined,
};

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
		recorder.recordAnswer(subject, false);
	}

	expect(recorder.collect()?.[0]?.answers).toBe(answers);
});

// Guards against a single server that has crashed and looks like many bad answers of its release, and against broken answers of
// a server that still answers and are missed.
it.each([
	{events: ['broken', 'broken', 'broken'], answers: 1, broken: 1},
	{events: ['broken', 'answer', 'broken', 'answer'], answers: 4, broken: 2},
	{events: ['answer', 'cut', 'answer', 'cut'], answers: 2, broken: 2},
])('counts $broken broken of $answers answers after $events', ({events, answers, broken}) => {
	const recorder = new ReleaseRecorder(() => 1);
	for (const event of events) {
		if (event === 'answer') {
			recorder.recordAnswer(subject, false);
		} else {
			recorder.recordBroken(subject, event === 'cut');
		}
	}

	expect(recorder.collect()).toMatchObject([{answers, broken, failures: 0}]);
});
