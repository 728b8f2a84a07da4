/** Sum of which older values count less. */
export class DecayedSum {
	private _sum = 0;
	private _at = 0;

	/** `_halfLifeMs` is the time in milliseconds after which a value counts half. */
	constructor(private readonly _halfLifeMs: number) {}

	add(value: number, now: number): void {
		this._sum = this.at(now) + value;
		this._at = now;
	}

	at(now: number): number {
		return this._sum * (0.5 ** (Math.max(0, now - this._at) / this._halfLifeMs));
	}
}
