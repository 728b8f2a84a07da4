import {expect, it} from 'vitest';
import {testDocument} from '../../testing/control-cluster.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {checkDocument} from '../documents/parse-document.js';
import {BudgetAllocator} from './budget-allocator.js';
import {BudgetLeases} from './budget-leases.js';
import {BudgetGranter, BudgetReporter, budgetLimits} from './budget-sections.js';

// Guards against grants that exceed the limit because of rounding, or are rounded to zero for small limits.
it.each([[0.013], [1], [7.777_77], [123_456.789]])('divides a limit of %d requests/s without exceeding it', async limit => {
	const clock = new ManualClock();
	const {customers, ...rest} = testDocument('s');
	const document = checkDocument({...rest, customers: [{...customers[0]!, requestsPerSecond: limit}]});
	const view = {documents: new Map([['s', {document, revision: 1, withdrawn: []}]])};
	const granter = new BudgetGranter(view, clock, () => new BudgetAllocator(1, 4000, clock.now()));
	granter.reset();
	const {key} = budgetLimits(view)[0]!;
	const hosts = ['a', 'b', 'c'].map(host => {
		const leases = new BudgetLeases(clock, host, 1, () => true);
		return {host, leases, reporter: new BudgetReporter(leases, clock, () => true)};
	});
	for (let round = 0; round < 12; round++) {
		for (const {host, leases, reporter} of hosts) {
			leases.take(key, 10);
			const report = reporter.collect()!;
			granter.receive({host, incarnation: 1}, report);
			reporter.acknowledge(1, report, granter.reply({host, incarnation: 1}, true));
		}

		// eslint-disable-next-line no-await-in-loop -- one renewal per second
		await clock.advance(1000);
	}

	const held = hosts.map(({leases}) => leases.held(key).requests ?? 0);
	expect(Math.min(...held)).toBeGreaterThan(0);
	expect(held.reduce((sum, rate) => sum + rate, 0)).toBeLessThanOrEqual(limit);
});
