/** Mean of values of which older ones count less, drawn to 0 while there are few. */
export class DecayedMean {
	private _sum = 0;
	private _weight = 0;
	/** Sum of the squares of the decayed counts of single values. */
	private _squares = 0;
	private _at = 0;

	constructor(
		/** Time in milliseconds after which a value counts half. */
		private readonly _halfLifeMs: number,
		/** Number of values 0 that are added, against chance while there are few values. */
		private readonly _prior: number,
	) {}

	add(value: number, count: number, now: number): void {
		this._decay(now);
		this._sum += value * count;
		this._weight += count;
		this._squares += count;
	}

	/** Returns the sum of the decayed counts. */
	weight(now: number): number {
		this._decay(now);
		return this._weight;
	}

	/** Returns the number of equally weighted values that would have the same standard error. */
	effectiveCount(now: number): number {
		this._decay(now);
		return this._squares === 0 ? 0 : (this._weight ** 2) / this._squares;
	}

	at(now: number): number {
		this._decay(now);
		return this._sum / (this._weight + this._prior);
	}

	/** Replaces the values with those of another mean. */
	copy(other: DecayedMean, now: number): void {
		this._decay(now);
		this._weight = other.weight(now);
		this._sum = other._sum;
		this._squares = other._squares;
	}

	private _decay(now: number): void {
		const factor = 0.5 ** (Math.max(0, now - this._at) / this._halfLifeMs);
		this._at = Math.max(this._at, now);
		this._sum *= factor;
		this._weight *= factor;
		this._squares *= factor ** 2;
	}
}
