/** Time constant of the exponential decay in milliseconds: long compared with one request, short compared with changes of capacity. */
const timeConstantMs = 10_000;
/** Minimum busy time in milliseconds; below it the rate is unknown. */
const minBusyMs = 1000;

/** Tokens of a typical request. */
const typicalTokens = 1000;

/** Measures the tokens per second that are finished while requests wait. Idle time is excluded, because light load would look like low capacity. */
export class DrainRate {
	private _tokens = 0;
	private _busyMs = 0;
	private _updatedAt = 0;
	private _isBusy = false;

	/** Tokens per second; undefined while unknown. */
	get tokensPerSecond(): number | undefined {
		return this._busyMs >= minBusyMs && this._tokens > 0 ? 1000 * this._tokens / this._busyMs : undefined;
	}

	/**
	Tokens per second with one typical request added, so that a queue that has not been served for long has a low rate and not an
	unknown one. Undefined while the busy time is too short.
	*/
	get conservativeTokensPerSecond(): number | undefined {
		return this._busyMs >= minBusyMs ? 1000 * (this._tokens + typicalTokens) / this._busyMs : undefined;
	}

	/** Sets whether requests wait from now on. */
	setBusy(isBusy: boolean, now: number): void {
		this._advance(now);
		this._isBusy = isBusy;
	}

	/** Records finished work. */
	recordFinished(tokens: number, now: number): void {
		this._advance(now);
		if (this._isBusy) {
			this._tokens += tokens;
		}
	}

	private _advance(now: number): void {
		const elapsed = now - this._updatedAt;
		this._updatedAt = now;
		if (this._isBusy && elapsed > 0) {
			const factor = Math.exp(-elapsed / timeConstantMs);
			this._tokens *= factor;
			this._busyMs = (this._busyMs * factor) + elapsed;
		}
	}
}
