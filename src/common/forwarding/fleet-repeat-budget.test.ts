import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {playRepeatLoad} from '../../testing/repeat-simulation.js';
import {FleetRepeatBudget} from './fleet-repeat-budget.js';
import {repeatPurpose} from './repeat-budget.js';

const windowMs = 10_000;
const limits = [{share: 0.9, slack: 56, windowMs}, {share: 0.3, slack: 422, windowMs}];

// Guards against requests that are lost although the fleet may repeat them, and against hosts that exceed the limit together.
it.each([9, 73, 370].flatMap(hosts => limits.flatMap(limit => [false, true].flatMap(isChanging => [1, 2, 3].map(seed => ({
	hosts, limit, isChanging, seed,
}))))))(
	'repeats the requests of a quarter of the servers within the limit: %o',
	async ({seed, hosts, limit, isChanging}) => {
		const {retriedShare, excess, broken} = await playRepeatLoad({
			seed, hosts, limit, isChanging, perSecond: 21, escalated: 0.4,
		});
		expect(broken).toBeGreaterThan(hosts);
		expect(retriedShare).toBeGreaterThanOrEqual(0.95);
		expect(excess).toBeLessThanOrEqual(0);
	},
);

// Guards against escalations that use up the retries.
it('keeps a part of the budget for retries', () => {
	const budget = new FleetRepeatBudget(new ManualClock(), {share: 0.5, slack: 0, windowMs}, () => 1);
	for (let count = 0; count < 100; count++) {
		budget.recordRequest();
	}

	const takeAll = (purpose: typeof repeatPurpose[keyof typeof repeatPurpose]) => Array.from({length: 100}, () => budget.take(purpose)).filter(Boolean).length;
	expect([takeAll(repeatPurpose.escalation), takeAll(repeatPurpose.retry)]).toEqual([30, 12]);
});
