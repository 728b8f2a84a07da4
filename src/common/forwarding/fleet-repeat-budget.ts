import {type Clock} from '../base/clock.js';
import {SlidingCount} from '../base/sliding-count.js';
import {type RepeatBudget, type RepeatPurpose, repeatPurpose} from './repeat-budget.js';

/** Limit on the repeats of a service over all entry hosts within any window of time. */
export interface RepeatLimit {
	/** Repeats per request. */
	readonly share: number;
	/** Repeats in addition to `share`. */
	readonly slack: number;
	readonly windowMs: number;
}

/** Fraction of the limit that hosts use: a window may contain repeats of requests that arrived before it. */
const usedFraction = 0.85;
/** Repeats per request that are kept for retries: the requests in flight at a quarter of the servers, twice in a window. */
const retryReserve = 0.12;
/** Maximum fraction of the repeats per request that is kept for retries. */
const maxReserveFraction = 0.5;

/**
Part of one host in a limit that holds for all of them together. A host may repeat in proportion to the requests that it
received itself, which needs no coordination, and uses its share of the slack.
*/
export class FleetRepeatBudget implements RepeatBudget {
	private readonly _requests: SlidingCount;
	private readonly _repeats: SlidingCount;

	/** `_slackShare` returns the share of this host in the slack, from 0 to 1. */
	constructor(private readonly _clock: Clock, private readonly _limit: RepeatLimit, private readonly _slackShare: () => number) {
		this._requests = new SlidingCount(_limit.windowMs);
		this._repeats = new SlidingCount(_limit.windowMs);
	}

	recordRequest(): void {
		this._requests.add(this._clock.now());
	}

	take(purpose: RepeatPurpose): boolean {
		const now = this._clock.now();
		const share = usedFraction * this._limit.share;
		const slack = usedFraction * this._limit.slack * this._slackShare();
		const requests = this._requests.atLeast(now);
		const allowed = purpose === repeatPurpose.escalation
			? Math.max(share - retryReserve, share * maxReserveFraction) * requests
			: (share * requests) + slack;
		if (this._repeats.atMost(now) + 1 > allowed) {
			return false;
		}

		this._repeats.add(now);
		return true;
	}
}
