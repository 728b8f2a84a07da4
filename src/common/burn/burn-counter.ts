import {type Clock} from '../base/clock.js';
import {hourMs} from '../control/burn-sum-table.js';
import {BucketCounts} from './bucket-counts.js';
import {
	keepHours, keepMinutes, maxObjectives, maxSubjects, minuteMs,
} from './burn-limits.js';
import {type BurnReport} from './burn-section.js';
import {burnKey, parseBurnKey, type BurnSubject} from './burn-subject.js';

const anyVersionAndCustomer = {version: '*', customer: '*'} as const;

/** Counts all and bad requests of this process: at most 61 minutes of 64 subjects and 6 hours of 128 subjects. */
export class BurnCounter {
	private readonly _minutes = new BucketCounts(keepMinutes, maxObjectives, () => burnKey({service: '*', objective: '*', ...anyVersionAndCustomer}));
	private readonly _hours = new BucketCounts(keepHours, maxSubjects, subject => burnKey({...parseBurnKey(subject), ...anyVersionAndCustomer}));
	private readonly _startedAt: number;

	constructor(private readonly _clock: Clock) {
		this._startedAt = Math.floor(_clock.wallTime());
	}

	/** Adds requests to the current buckets. A `total` of 0 marks `bad` requests as bad that were counted as good before. */
	count(subject: BurnSubject, total: number, bad: number): void {
		const now = this._clock.wallTime();
		this._minutes.add(Math.floor(now / minuteMs), burnKey({...subject, ...anyVersionAndCustomer}), total, bad);
		this._hours.add(Math.floor(now / hourMs), burnKey(subject), total, bad);
	}

	/** Returns the counts that changed since the last report, or all counts if `isFull`. */
	report(isFull: boolean): BurnReport {
		const at = this._clock.wallTime();
		this._minutes.prune(Math.floor(at / minuteMs));
		this._hours.prune(Math.floor(at / hourMs));
		return {
			startedAt: this._startedAt, at, minutes: this._minutes.collect(isFull), hours: this._hours.collect(isFull),
		};
	}
}
