import {type Clock} from '../base/clock.js';
import {type FollowerSection} from '../control/follower-section.js';
import {type BurnCounter} from './burn-counter.js';
import {reportIntervalMs} from './burn-limits.js';
import {burnSection, type BurnReport} from './burn-section.js';

/** Reports the counts of this daemon with the renewals. */
export class BurnReporter implements FollowerSection<BurnReport, never> {
	readonly section = burnSection;
	private _term: number | undefined;
	private _reportedAt = Number.NEGATIVE_INFINITY;
	/** Whether the last report has no reply, so its counts may be lost. */
	private _isUnanswered = false;

	constructor(private readonly _counter: BurnCounter, private readonly _clock: Clock) {}

	collect(term: number): BurnReport | undefined {
		// A new leader has no counts, and a full report replaces a lost one.
		const isFull = term !== this._term || this._isUnanswered;
		const now = this._clock.now();
		if (now - this._reportedAt < reportIntervalMs && term === this._term) {
			return undefined;
		}

		this._reportedAt = now;
		this._isUnanswered = true;
		return this._counter.report(isFull);
	}

	acknowledge(term: number, sent: BurnReport | undefined): void {
		if (sent) {
			this._term = term;
			this._isUnanswered = false;
		}
	}
}
