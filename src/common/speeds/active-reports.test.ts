import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {hasUnequalCapacities} from '../control/unequal-capacities.js';
import {ServerRecord} from '../forwarding/server-pool.js';
import {ReceivedWeights} from './received-weights.js';
import {SpeedReporter} from './speed-reporter.js';

// Guards against deployments of equal machines whose placement follows speeds that nothing in them asks for.
it.each([
	{capacities: [0.3, 0.3, 0.3], isUnequal: false},
	{capacities: [0.3, 0.4], isUnequal: false},
	{capacities: [0.243, 0.81], isUnequal: true},
	{capacities: [undefined, 0.81], isUnequal: false},
	{capacities: [0, 0.81, Infinity], isUnequal: false},
	{capacities: [], isUnequal: false},
])('takes machines of $capacities processors for unequal: $isUnequal', ({capacities, isUnequal}) => {
	expect(hasUnequalCapacities(capacities.map((capacity, index) => ({
		host: `e${index}`, incarnation: 1, address: 'a:1', peerAddress: 'a:2', zone: 'z', leaving: false, capacity,
	})))).toBe(isUnequal);
});

// Guards against reports that cost time and bytes in a deployment that does not use them.
it.each([{isActive: true}, {isActive: false}])('reports what it observed while it is active: $isActive', async ({isActive}) => {
	const clock = new ManualClock();
	const reporter = new SpeedReporter(clock, new ReceivedWeights());
	reporter.isActive = isActive;
	const record = new ServerRecord(testBackend('a'));
	for (let count = 0; count < 20; count++) {
		const probe = reporter.observe({
			record, service: 's', route: 'r', model: undefined, inputTokens: 0, sentAt: clock.now(),
		});
		await clock.advance(100); // eslint-disable-line no-await-in-loop -- attempts follow each other
		probe.recordFirstEvent(clock.now());
	}

	expect(reporter.collect(1)?.items.length).toBe(isActive ? 1 : undefined);
});
