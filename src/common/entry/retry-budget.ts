/** Number of retries allowed per request. */
const retryRatio = 0.1;
/** Maximum number of saved retries: enough for the loss of one backend server with its running requests, and small compared with the load. */
const maxSaved = 10;

/** Limits retries and hedges to a fraction of the requests, so that a fault does not multiply the load. */
export class RetryBudget {
	private _saved: number;

	/** `_ratio` is the number of retries per request. `_maxSaved` is the maximum number of saved retries, and also the initial one. */
	constructor(private readonly _ratio = retryRatio, private readonly _maxSaved = maxSaved) {
		this._saved = _maxSaved;
	}

	/** Number of retries allowed now. */
	get available(): number {
		return Math.floor(this._saved);
	}

	/** Adds to the budget for a new request; not to be called for its retries. */
	recordRequest(): void {
		this._saved = Math.min(this._maxSaved, this._saved + this._ratio);
	}

	/** Takes a retry from the budget. @returns false if none was left. */
	take(): boolean {
		// The tolerance covers rounding: ten additions of 0.1 must give one retry.
		if (this._saved < 1 - 1e-9) {
			return false;
		}

		this._saved = Math.max(0, this._saved - 1);
		return true;
	}
}
