/** Weight of the origin as a sample; it keeps the slope of a few samples with nearly the same x plausible. */
const originWeight = 0.5;

/** Straight line fitted to samples by least squares; older samples count less. Slope and intercept are never negative. */
export class DecayedLine {
	private _count = 0;
	private _x = 0;
	private _y = 0;
	private _xx = 0;
	private _xy = 0;
	private _decayedAt = 0;

	/** `_halfLifeMs` is the time in milliseconds, `_halfLifeSamples` the number of further samples after which a sample counts half. */
	constructor(private readonly _halfLifeMs: number, private readonly _halfLifeSamples = Infinity) {}

	/** Adds a sample that counts as `weight` samples. */
	add(x: number, y: number, now: number, weight = 1): void {
		const factor = 0.5 ** ((Math.max(0, now - this._decayedAt) / this._halfLifeMs) + (1 / this._halfLifeSamples));
		this._decayedAt = now;
		this._count = (this._count * factor) + weight;
		this._x = (this._x * factor) + (weight * x);
		this._y = (this._y * factor) + (weight * y);
		this._xx = (this._xx * factor) + (weight * x * x);
		this._xy = (this._xy * factor) + (weight * x * y);
	}

	/** Value of the line; 0 before the first sample. */
	at(x: number): number {
		const count = this._count + originWeight;
		const spread = (count * this._xx) - (this._x * this._x);
		const slope = spread > 0 ? ((count * this._xy) - (this._x * this._y)) / spread : 0;
		if (slope <= 0) {
			return this._y / count;
		}

		const intercept = (this._y - (slope * this._x)) / count;
		return intercept >= 0 ? intercept + (slope * x) : x * this._xy / this._xx;
	}
}
