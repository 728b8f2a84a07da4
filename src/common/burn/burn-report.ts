import {type BurnCountRow} from '../control/burn-sums.js';
import {hourMs} from '../control/burn-sum-table.js';
import {type ControlView} from '../control/control-view.js';
import {objectiveName, type Objective} from '../documents/objective.js';
import {type BurnBucket} from './burn-section.js';
import {minuteMs} from './burn-limits.js';
import {parseBurnKey} from './burn-subject.js';
import {
	activeAlerts, budgetMs, burnRate, burnWindows, windowCount,
} from './burn-windows.js';

/** A version or customer with its share of the bad requests. */
export interface BurnContributor {
	readonly name: string;
	readonly total: number;
	readonly bad: number;
	/** Share of all bad requests, in [0, 1]. */
	readonly share: number;
}

/** One objective with its error budget and burn rates. */
export interface BurnRow {
	readonly service: string;
	readonly objective: string;
	readonly goodShare: number;
	/** Requests of the last 30 days. */
	readonly total: number;
	readonly bad: number;
	/** Remaining share of the error budget of 30 days; negative when it is overdrawn. */
	readonly budgetLeft: number;
	/** Burn rate by window. */
	readonly rates: Readonly<Record<string, number>>;
	/** Names of the active alerts. */
	readonly alerts: readonly string[];
	/** Unix milliseconds at which the budget is used up at the burn rate of the last hour; absent if that takes more than 30 days. */
	readonly budgetEndsAt?: number;
	/** Versions and customers with bad requests in the last 2 h, most bad requests first. */
	readonly versions: readonly BurnContributor[];
	readonly customers: readonly BurnContributor[];
	/** Share of bad requests in each hour of the last 3 days, oldest first; absent for an hour without requests. */
	readonly history: ReadonlyArray<{readonly at: number; readonly badShare?: number}>;
}

/** Error budget burn of all services. */
export interface BurnSummary {
	/** Unix milliseconds at the leader. */
	readonly at: number;
	readonly rows: readonly BurnRow[];
}

/** Counts from which a report is computed. */
export interface BurnCounts {
	readonly minutes: readonly BurnBucket[];
	readonly hours: readonly BurnBucket[];
}

/** Maximum number of versions, and of customers, in a row of the report. */
const maxContributors = 5;
/** Time in milliseconds over which contributors are summed: two hours, because the current hour may have just begun. */
const contributorWindowMs = 2 * hourMs;

/** Computes the burn of all objectives of the documents. */
export function burnReport({documents}: Pick<ControlView, 'documents'>, counts: BurnCounts, now: number): BurnSummary {
	const minutes = groupByObjective(counts.minutes);
	const hours = groupByObjective(counts.hours);
	const rows = [...documents.values()].flatMap(({document}) => document.objectives.map(objective => {
		const prefix = `${document.service}|${objectiveName(objective)}|`;
		return burnRow(document.service, objective, {minutes: minutes.get(prefix) ?? [], hours: hours.get(prefix) ?? []}, now);
	}));
	return {at: now, rows: rows.sort((one, other) => other.alerts.length - one.alerts.length || (one.budgetLeft - other.budgetLeft))};
}

/** Groups the rows by objective, so that each objective scans only its own rows. The map is keyed by subject prefix. */
function groupByObjective(buckets: readonly BurnBucket[]): Map<string, BurnBucket[]> {
	const split = new Map<string, BurnBucket[]>();
	for (const [bucket, rows] of buckets) {
		const own = new Map<string, BurnCountRow[]>();
		for (const row of rows) {
			const {service, objective} = parseBurnKey(row[0]);
			const prefix = `${service}|${objective}|`;
			const ownRows = own.get(prefix) ?? [];
			ownRows.push(row);
			own.set(prefix, ownRows);
		}

		for (const [prefix, ownRows] of own) {
			const ownBuckets = split.get(prefix) ?? [];
			ownBuckets.push([bucket, ownRows]);
			split.set(prefix, ownBuckets);
		}
	}

	return split;
}

/** Replaces the rows of each bucket by one row with their sum. */
function sumRows(buckets: readonly BurnBucket[], subject: string): BurnBucket[] {
	const sums = new Map<number, [total: number, bad: number]>();
	for (const [bucket, rows] of buckets) {
		const sum = sums.get(bucket) ?? [0, 0];
		sums.set(bucket, sum);
		for (const [, total, bad] of rows) {
			sum[0] += total;
			sum[1] += bad;
		}
	}

	return [...sums].map(([bucket, [total, bad]]) => [bucket, [[subject, total, bad]]]);
}

function burnRow(service: string, objective: Objective, counts: BurnCounts, now: number): BurnRow {
	const name = objectiveName(objective);
	const {goodShare} = objective;
	const prefix = `${service}|${name}|`;
	const minutes = sumRows(counts.minutes, prefix);
	const hours = sumRows(counts.hours, prefix);
	const rates = Object.fromEntries(burnWindows.map(([window, lengthMs]) => {
		const count = lengthMs <= hourMs ? windowCount(minutes, minuteMs, prefix, now - lengthMs, now) : windowCount(hours, hourMs, prefix, now - lengthMs, now);
		return [window, burnRate(count, goodShare)];
	}));
	const month = windowCount(hours, hourMs, prefix, now - budgetMs, now);
	const budgetLeft = 1 - (burnRate(month, goodShare) * coveredShare(hours, prefix, now));
	return {
		service,
		objective: name,
		goodShare,
		total: Math.round(month.total),
		bad: Math.round(month.bad),
		budgetLeft,
		rates,
		alerts: activeAlerts(rates).map(alert => alert.name),
		budgetEndsAt: budgetEnd(budgetLeft, rates['1h']!, now),
		versions: contributors(counts.hours, prefix, now, 'version'),
		customers: contributors(counts.hours, prefix, now, 'customer'),
		history: history(hours, now),
	};
}

/** Share of the 30 days that the counts cover. The rest is assumed to have the same traffic without bad requests, so a new service starts with its whole budget. */
function coveredShare(hours: readonly BurnBucket[], prefix: string, now: number): number {
	let first = now;
	for (const [hour, rows] of hours) {
		if (hour * hourMs < first && rows.some(([subject]) => subject.startsWith(prefix))) {
			first = hour * hourMs;
		}
	}

	return Math.min(1, Math.max(hourMs, now - first) / budgetMs);
}

function budgetEnd(budgetLeft: number, rate: number, now: number): number | undefined {
	if (budgetLeft <= 0) {
		return now;
	}

	const leftMs = rate > 0 ? budgetLeft * budgetMs / rate : Number.POSITIVE_INFINITY;
	return leftMs <= budgetMs ? now + leftMs : undefined;
}

function contributors(hours: readonly BurnBucket[], prefix: string, now: number, part: 'version' | 'customer'): BurnContributor[] {
	const sums = new Map<string, {total: number; bad: number}>();
	for (const [hour, rows] of hours) {
		if ((hour + 1) * hourMs <= now - contributorWindowMs) {
			continue;
		}

		for (const [subject, total, bad] of rows) {
			if (subject.startsWith(prefix)) {
				const name = parseBurnKey(subject)[part];
				const sum = sums.get(name) ?? {total: 0, bad: 0};
				sums.set(name, {total: sum.total + total, bad: sum.bad + bad});
			}
		}
	}

	const allBad = [...sums.values()].reduce((sum, {bad}) => sum + bad, 0);
	return [...sums].map(([name, sum]) => ({name, ...sum, share: allBad > 0 ? sum.bad / allBad : 0}))
		.filter(({bad}) => bad > 0)
		.sort((one, other) => other.bad - one.bad || one.name.localeCompare(other.name))
		.slice(0, maxContributors);
}

function history(hours: readonly BurnBucket[], now: number): BurnRow['history'] {
	const currentHour = Math.floor(now / hourMs);
	const byHour = new Map(hours.map(bucket => [bucket[0], bucket]));
	return Array.from({length: 72}, (_, index) => {
		const hour = currentHour - 71 + index;
		const [, [row] = []] = byHour.get(hour) ?? [];
		return {at: hour * hourMs, badShare: row && row[1] > 0 ? Math.min(1, row[2] / row[1]) : undefined};
	});
}
