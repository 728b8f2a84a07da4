/** Limits on explorations, the requests that are used for learning. */
export interface ExplorationLimits {
	/** Explorations allowed at the start, before any estimates exist. */
	readonly initial: number;
	/** Further explorations as a share of the non-urgent requests. */
	readonly share: number;
	/** Maximum number of explorations without a rating; more would only queue at the rating service. */
	readonly pending: number;
}

/** Share of ratings assumed lost, so that missing ratings do not stop the learning. */
const lostShare = 0.2;

/** Limits explorations to `initial + share × requests`. */
export class ExplorationBudget {
	private _requests = 0;
	private _spent = 0;
	private _rated = 0;

	constructor(private readonly _limits: ExplorationLimits) {}

	/** Counts a request that may explore. */
	addRequest(): void {
		this._requests++;
	}

	/** Counts an exploration whose rating arrived. */
	addRated(): void {
		this._rated++;
	}

	/** Spends one exploration if the budget allows it. */
	tryTake(): boolean {
		const outstanding = (this._spent * (1 - lostShare)) - this._rated;
		if (outstanding >= this._limits.pending || this._spent + 1 > this._limits.initial + (this._limits.share * this._requests)) {
			return false;
		}

		this._spent++;
		return true;
	}
}
