import {expect, it} from 'vitest';
import {hourMs} from '../control/burn-sum-table.js';
import {type ServiceDocument} from '../documents/service-document.js';
import {checkDocument} from '../documents/parse-document.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {type BurnBucket} from './burn-section.js';
import {BurnCounter} from './burn-counter.js';
import {burnReport} from './burn-report.js';
import {minuteMs} from './burn-limits.js';

const document: ServiceDocument = checkDocument({
	service: 'notes', versions: ['small@1'], customers: [{name: 'acme', keySha256: 'a'.repeat(64)}], objectives: [{refusals: true, goodShare: 0.99}],
});
const documents = new Map([['notes', {document, revision: 1, withdrawn: []}]]);
const subject = {
	service: 'notes', objective: 'refusals', version: 'small@1', customer: 'acme',
};

/** Minutes with 100 requests each, and how many of these requests are bad. */
type TrafficPhase = readonly [minutes: number, badPerHundred: number];

async function run(phases: readonly TrafficPhase[]) {
	const clock = new ManualClock();
	const counter = new BurnCounter(clock);
	const hours: BurnBucket[] = [];
	for (const [minutes, bad] of phases) {
		for (let minute = 0; minute < minutes; minute++) {
			counter.count(subject, 100, bad);
			// eslint-disable-next-line no-await-in-loop -- time advances minute by minute
			await clock.advance(minuteMs);
			if (clock.now() % hourMs === 0) {
				// The control log has the hours that a host no longer keeps.
				const hour = (clock.wallTime() / hourMs) - 1;
				hours.push(...counter.report(true).hours.filter(([bucket]) => bucket === hour));
			}
		}
	}

	const now = clock.wallTime();
	const report = counter.report(true);
	const open = report.hours.filter(([bucket]) => bucket === Math.floor(now / hourMs));
	return burnReport({documents}, {minutes: report.minutes, hours: [...hours, ...open]}, now).rows[0]!;
}

// Guards against alerts for a short burst or an ended burn, and against a sustained burn without an alert.
it.each<{name: string; phases: readonly TrafficPhase[]; alerts: readonly string[]; rates: ReadonlyArray<readonly [window: string, rate: number]>}>([
	{
		name: 'no bad request', phases: [[1440, 0]], alerts: [], rates: [['5m', 0], ['24h', 0]],
	},
	{
		name: 'a burn at the allowed rate', phases: [[1440, 1]], alerts: [], rates: [['5m', 1], ['24h', 1]],
	},
	{
		name: 'a burst of 5 minutes', phases: [[1435, 0], [5, 20]], alerts: [], rates: [['5m', 20], ['1h', 20 / 12]],
	},
	{
		name: 'a burn that ended 10 minutes ago', phases: [[1380, 0], [50, 20], [10, 0]], alerts: [], rates: [['5m', 0], ['1h', 50 * 20 / 60]],
	},
	{
		name: 'an hour of fast burn', phases: [[1380, 0], [60, 20]], alerts: ['fast'], rates: [['5m', 20], ['1h', 20], ['6h', 20 / 6]],
	},
	{
		name: 'six hours of medium burn', phases: [[1080, 0], [360, 7]], alerts: ['medium'], rates: [['30m', 7], ['6h', 7], ['24h', 7 / 4]],
	},
	{
		name: 'a day of slow burn', phases: [[1440, 4]], alerts: ['slow'], rates: [['2h', 4], ['24h', 4], ['3d', 4]],
	},
	{
		name: 'a day of fast burn', phases: [[1440, 15]], alerts: ['fast', 'medium', 'slow'], rates: [['5m', 15], ['24h', 15]],
	},
])('computes windows and alerts for $name', async ({phases, alerts, rates}) => {
	const row = await run(phases);
	expect(row.alerts).toEqual(alerts);
	for (const [window, rate] of rates) {
		expect([window, row.rates[window]]).toEqual([window, expect.closeTo(rate, 6)]);
	}
});

// Guards against a wrong end of the budget: a burn rate of 10 uses 1/3 of the budget in one day and the rest in 2 more days.
it('predicts when the budget is used up', async () => {
	const row = await run([[1440, 10]]);
	expect(row.budgetLeft).toBeCloseTo(2 / 3, 6);
	expect(row.budgetEndsAt! - 1_800_000_000_000).toBeCloseTo(3 * 24 * hourMs, 0);
	const slow = await run([[1440, 1]]);
	expect(slow.budgetEndsAt).toBeDefined();
	const none = await run([[1440, 0]]);
	expect(none.budgetEndsAt).toBeUndefined();
});
