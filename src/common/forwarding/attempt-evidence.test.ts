import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {AttemptEvidence} from './attempt-evidence.js';
import {nullReleaseObserver} from './null-release-observer.js';
import {ServerRecord} from './server-pool.js';

// Guards against a server that counts as fast because it sends short errors or refusals.
it.each([
	{name: 'a valid answer', isFailed: false, paces: 1},
	{name: 'a failed answer', isFailed: true, paces: 0},
	{name: 'a refusal', isFailed: undefined, paces: 0},
])('reports the pace of $name $paces times', ({isFailed, paces}) => {
	const recorded: number[] = [];
	const subject = {
		service: 's', route: 'r', record: new ServerRecord(testBackend('s1')), model: undefined,
	};
	const evidence = new AttemptEvidence(nullReleaseObserver, subject, 0, {
		recordFirstEvent: () => undefined, recordPace: msPerKib => recorded.push(msPerKib), end: () => undefined,
	});
	if (isFailed !== undefined) {
		evidence.recordHead(isFailed, 10);
	}

	evidence.recordChunk(10, 100);
	evidence.recordChunk(11, 100);
	evidence.finish();
	expect(recorded).toHaveLength(paces);
});
