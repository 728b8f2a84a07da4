/** Duration of a hold in milliseconds. Shorter than callers' timeouts, but long enough for several round trips to a learner. */
const holdMs = 500;

/** Minimum time between the starts of two holds, in milliseconds. */
const holdIntervalMs = 5000;

/**
Delays commits briefly, so that a learner that always lags slightly behind the commit index can catch up with it.
Entries are still appended and synced during a hold.
*/
export class CommitHold {
	private _until = -Infinity;
	private _nextStart = -Infinity;

	isActive(now: number): boolean {
		return now < this._until;
	}

	/** Starts a hold, unless the last one started too recently. */
	start(now: number): void {
		if (now >= this._nextStart) {
			this._until = now + holdMs;
			this._nextStart = now + holdIntervalMs;
		}
	}

	end(): void {
		this._until = -Infinity;
	}
}
