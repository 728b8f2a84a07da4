import {type Clock} from '../base/clock.js';

/**
Limits the rate of model loads from the weight store in the whole system. It runs on the control leader, the only host
that gives orders. A new leader waits one interval before its first load, because loads that its predecessor ordered may
still run.
*/
export class WeightLoadLimiter {
	private _availableAt: number;

	/** Allows one load per interval, in milliseconds. */
	constructor(private readonly _clock: Clock, private readonly _intervalMs: number) {
		this._availableAt = _clock.now() + _intervalMs;
	}

	/** Acquires the permit for a load. @returns whether one was available. */
	tryAcquire(): boolean {
		const now = this._clock.now();
		if (now < this._availableAt) {
			return false;
		}

		this._availableAt = now + this._intervalMs;
		return true;
	}

	/** Restarts without a permit, as for a new leader. */
	reset(): void {
		this._availableAt = this._clock.now() + this._intervalMs;
	}
}
