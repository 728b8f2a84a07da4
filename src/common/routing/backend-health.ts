/** Consecutive failures that eject a backend server; at a failure rate of 10 %, three in a row occur by chance once in 1,000. */
const maxConsecutiveFailures = 3;
/** Share of failures above which a backend server is ejected, once there are `minSamples` results. */
const maxFailureShare = 0.5;
const minSamples = 10;
/** Half-life in milliseconds of the results that the share of failures is computed from. */
const resultHalfLifeMs = 10_000;
/** Duration of the first ejection in milliseconds; doubled at each failed trial up to the maximum. */
const firstEjectionMs = 2000;
const maxEjectionMs = 60_000;
/** Timeout of a trial in milliseconds, so that a lost result does not block further trials. */
const trialTimeoutMs = 10_000;

/** Circuit breaker of one incarnation of a backend server, driven by the results of real requests. */
export class BackendHealth {
	private _consecutiveFailures = 0;
	private _successes = 0;
	private _failures = 0;
	private _decayedAt = 0;
	private _ejections = 0;
	private _ejectedAt = 0;
	private _ejectedUntil = 0;
	private _isEjected = false;
	private _trialDeadline = 0;

	/** Whether the server may receive a request: it is not ejected, or a trial is due and none is in flight. */
	isAvailable(now: number): boolean {
		return !this._isEjected || (now >= this._ejectedUntil && now >= this._trialDeadline);
	}

	/** Whether the server is ejected, also while a trial is due or in flight. */
	get isEjected(): boolean {
		return this._isEjected;
	}

	/** Whether a trial after the ejection failed too, so that the ejection was not caused by random failures. */
	get isConfirmedDown(): boolean {
		return this._isEjected && this._ejections > 1;
	}

	/** Records that a request was sent; on an ejected server this is the trial. */
	recordSent(now: number): void {
		if (this._isEjected) {
			this._trialDeadline = now + trialTimeoutMs;
		}
	}

	/** Records the result of a request that was sent at the given time. */
	record(failed: boolean, sentAt: number, now: number): void {
		if (this._isEjected) {
			this._recordTrial(failed, sentAt, now);
			return;
		}

		this._decay(now);
		if (failed) {
			this._failures++;
			this._consecutiveFailures++;
		} else {
			this._successes++;
			this._consecutiveFailures = 0;
		}

		const samples = this._successes + this._failures;
		if (this._consecutiveFailures >= maxConsecutiveFailures || (samples >= minSamples && this._failures > maxFailureShare * samples)) {
			this._eject(now);
		}
	}

	private _recordTrial(failed: boolean, sentAt: number, now: number): void {
		// The ejection already accounts for the results of requests sent before it.
		if (sentAt < this._ejectedAt) {
			return;
		}

		this._trialDeadline = 0;
		if (failed) {
			this._eject(now);
			return;
		}

		this._isEjected = false;
		this._ejections = 0;
		this._consecutiveFailures = 0;
		this._successes = 0;
		this._failures = 0;
	}

	private _eject(now: number): void {
		this._isEjected = true;
		this._ejectedAt = now;
		this._ejectedUntil = now + Math.min(maxEjectionMs, firstEjectionMs * (2 ** this._ejections));
		this._trialDeadline = 0;
		this._ejections++;
	}

	private _decay(now: number): void {
		const factor = 0.5 ** ((now - this._decayedAt) / resultHalfLifeMs);
		this._successes *= factor;
		this._failures *= factor;
		this._decayedAt = now;
	}
}
