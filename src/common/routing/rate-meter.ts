import {type Clock} from '../base/clock.js';

/** Measures a rate over an exponentially decaying window. */
export class RateMeter {
	private _sum = 0;
	private _at: number;
	private readonly _startedAt: number;

	constructor(private readonly _clock: Clock, private readonly _windowMs: number) {
		this._at = _clock.now();
		this._startedAt = this._at;
	}

	add(amount: number): void {
		this._decay();
		this._sum += amount;
	}

	/** Amount per second. */
	perSecond(): number {
		this._decay();
		// Before the first window has passed, the sum covers only a part of it.
		const filled = 1 - Math.exp((this._startedAt - this._at) / this._windowMs);
		return filled === 0 ? 0 : this._sum / (this._windowMs / 1000 * filled);
	}

	private _decay(): void {
		const now = this._clock.now();
		this._sum *= Math.exp((this._at - now) / this._windowMs);
		this._at = now;
	}
}
