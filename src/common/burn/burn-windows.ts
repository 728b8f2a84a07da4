import {hourMs} from '../control/burn-sum-table.js';
import {minuteMs} from './burn-limits.js';
import {type BurnBucket} from './burn-section.js';

/** Requests of a window. */
export interface WindowCount {
	readonly total: number;
	readonly bad: number;
}

/** Alert on a short and a long window, active when the burn rates of both reach the threshold. */
export interface AlertRule {
	readonly name: string;
	readonly shortMs: number;
	readonly longMs: number;
	/** Burn rate; a rate of 1 uses up the budget of 30 days in exactly 30 days. */
	readonly threshold: number;
}

/** Period of the error budget in milliseconds. */
export const budgetMs = 30 * 24 * hourMs;

/** The thresholds use 2 % of the budget in 1 h (`fast`), 5 % in 6 h (`medium`) and 10 % in 24 h (`slow`). */
export const alertRules: readonly AlertRule[] = [
	{
		name: 'fast', shortMs: 5 * minuteMs, longMs: hourMs, threshold: 14.4,
	},
	{
		name: 'medium', shortMs: 30 * minuteMs, longMs: 6 * hourMs, threshold: 6,
	},
	{
		name: 'slow', shortMs: 2 * hourMs, longMs: 24 * hourMs, threshold: 3,
	},
];

/** Windows of the report in milliseconds, with their names. */
export const burnWindows: ReadonlyArray<readonly [name: string, lengthMs: number]> = [
	['5m', 5 * minuteMs], ['30m', 30 * minuteMs], ['1h', hourMs], ['2h', 2 * hourMs], ['6h', 6 * hourMs], ['24h', 24 * hourMs], ['3d', 72 * hourMs],
];

/** Sums the requests from `from` to `now` of all subjects whose key starts with a prefix; a bucket that begins before `from` counts in proportion. */
export function windowCount(buckets: readonly BurnBucket[], bucketMs: number, prefix: string, from: number, now: number): WindowCount {
	let total = 0;
	let bad = 0;
	for (const [bucket, rows] of buckets) {
		const start = bucket * bucketMs;
		const end = start + bucketMs;
		if (end <= from || start > now) {
			continue;
		}

		// The current bucket has not ended, so its requests lie between its start and now.
		const filledMs = Math.min(end, now) - start;
		const share = start >= from || filledMs <= 0 ? 1 : Math.max(0, Math.min(end, now) - from) / filledMs;
		for (const [subject, rowTotal, rowBad] of rows) {
			if (subject.startsWith(prefix)) {
				total += rowTotal * share;
				bad += rowBad * share;
			}
		}
	}

	return {total, bad};
}

/** Rate at which the error budget is used, as a multiple of the allowed rate; 0 without requests. */
export function burnRate({total, bad}: WindowCount, goodShare: number): number {
	return total > 0 ? Math.min(1, bad / total) / (1 - goodShare) : 0;
}

/** Alert rules that are active at the given burn rates by window. */
export function activeAlerts(rates: Readonly<Record<string, number>>): AlertRule[] {
	const nameOf = (lengthMs: number) => burnWindows.find(([, length]) => length === lengthMs)![0];
	return alertRules.filter(({shortMs, longMs, threshold}) => rates[nameOf(shortMs)]! >= threshold && rates[nameOf(longMs)]! >= threshold);
}
