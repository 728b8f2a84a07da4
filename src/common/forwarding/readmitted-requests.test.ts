import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend, testTable} from '../../testing/forwarder-fixture.js';

// Guards against a repeat budget that grows with requests that are admitted again.
it('counts a request once for the repeat budget although it is admitted again', async () => {
	const {clock, port, send, route, replaceTable, budget} = createForwarderFixture('once', {timeoutMs: 20_000}, [testBackend('a')]);
	let counted = 0;
	const record = budget.recordRequest.bind(budget);
	budget.recordRequest = () => {
		counted++;
		record();
	};

	for (let n = 0; n < 12; n++) {
		send({id: `q${n}`, deadlineMs: 15_000});
	}

	expect(port.attempts.length).toBe(8);
	expect(counted).toBe(12);
	for (let n = 0; n < 5; n++) {
		// The kind of repetition changes: what waits is admitted again.
		replaceTable(testTable([{...route, repetition: n % 2 === 0 ? 'idempotent' : 'once'}], [{name: 'shop', keys: ['key'], priority: 1}]));
		await clock.advance(100); // eslint-disable-line no-await-in-loop -- the configurations follow each other
	}

	expect(counted).toBe(12);
});
