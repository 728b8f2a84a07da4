import {type Clock} from '../common/base/clock.js';

/** Rating service with a limited rate, delays, lost ratings and outages. */
export class RatingService {
	isAvailable = true;
	private _busyUntil = 0;

	constructor(private readonly _clock: Clock, private readonly _ratingsPerSecond: number) {}

	/** Delivers a rating after the delay and the wait in the queue; a rating whose delay is undefined never arrives. */
	rate(delayMs: number | undefined, deliver: () => void): void {
		if (!this.isAvailable || delayMs === undefined) {
			return;
		}

		const now = this._clock.now();
		this._busyUntil = Math.max(now, this._busyUntil) + (1000 / this._ratingsPerSecond);
		this._clock.setTimer(this._busyUntil - now + delayMs, deliver);
	}
}
