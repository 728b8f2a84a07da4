import {hourMs} from '../control/burn-sum-table.js';
import {BucketCounts} from './bucket-counts.js';
import {
	keepHours, keepMinutes, maxObjectives, maxSubjects, minuteMs,
} from './burn-limits.js';
import {type BurnReport} from './burn-section.js';

/** Time in milliseconds after the end of an hour at which the hour counts as complete even if the process no longer reports. */
const reportTimeoutMs = 600_000;

/** Counts of one process of an entry host, as the leader received them. */
export class ProcessCounts {
	// The sender limits the number of subjects; twice its limits leave room for its overflow rows.
	readonly minutes = new BucketCounts(keepMinutes, 2 * maxObjectives, subject => subject);
	readonly hours = new BucketCounts(keepHours, 2 * maxSubjects, subject => subject);
	private _reportedAt = 0;

	constructor(readonly host: string, readonly startedAt: number) {}

	/** Merges a report. Reports may be repeated and arrive in any order. Buckets more than an hour ahead of `now` come from a wrong clock and are ignored. */
	receive({at, minutes, hours}: BurnReport, now: number): void {
		this._reportedAt = Math.max(this._reportedAt, Math.min(at, now + hourMs));
		for (const [counts, buckets, lengthMs] of [[this.minutes, minutes, minuteMs], [this.hours, hours, hourMs]] as const) {
			for (const [bucket, rows] of buckets) {
				if (bucket * lengthMs > now + hourMs) {
					continue;
				}

				for (const row of rows) {
					counts.merge(bucket, row);
				}
			}
		}
	}

	/** Whether the counts of an hour are final. `isReplaced`: a later process of the host has reported. */
	isComplete(hour: number, now: number, isReplaced: boolean): boolean {
		const end = (hour + 1) * hourMs;
		return isReplaced || this._reportedAt >= end || now >= end + reportTimeoutMs;
	}
}
