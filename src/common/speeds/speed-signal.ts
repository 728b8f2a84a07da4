import {DecayedMean} from './decayed-mean.js';

/** Half-life in milliseconds of the estimate that decides the weight: with 3.5 requests a second, chance changes it by less than a tenth. */
const slowHalfLifeMs = 6000;
/** Half-life in milliseconds of the estimate that finds changes. */
const fastHalfLifeMs = 1000;
/** Number of observations without a difference that are added to either estimate. */
const prior = {slow: 0.5, fast: 0.5} as const;
/** Difference between both estimates from which the server has changed. Noise of a factor 2.5 in a period of 600 ms makes 0.31, and in three such periods in a row 0.66. */
const minChange = 0.7;
/** The same in standard errors of the fast estimate. */
const minChangeErrors = 2.5;
/** Time in milliseconds without observations after which the estimate begins to return to 0; a server at the lowest weight gets a request every two seconds. */
const freshMs = 3000;
/** Time in milliseconds in which it returns to 0. */
const fadeMs = 3000;

/** Estimate of the logarithm of observed / expected time of one process: steady while nothing changes, and quick when the process changes by much. */
export class SpeedSignal {
	private readonly _slow = new DecayedMean(slowHalfLifeMs, prior.slow);
	private readonly _fast = new DecayedMean(fastHalfLifeMs, prior.fast);
	private _observedAt = -Infinity;

	/** Returns the number of observations on which the estimate is based. */
	weight(now: number): number {
		return this._slow.weight(now);
	}

	at(now: number): number {
		const freshness = Math.min(1, Math.max(0, (this._observedAt + freshMs + fadeMs - now) / fadeMs));
		return this._slow.at(now) * freshness;
	}

	/** Standard error of the estimate, given the standard deviation of observations. */
	error(deviation: number, now: number): number {
		return errorOf(this._slow, deviation, now);
	}

	/** Adds observations with their mean. */
	add(mean: number, count: number, deviation: number, now: number): void {
		this._slow.add(mean, count, now);
		this._fast.add(mean, count, now);
		this._observedAt = now;
		const change = Math.abs(this._fast.at(now) - this._slow.at(now));
		if (change > Math.max(minChange, minChangeErrors * errorOf(this._fast, deviation, now))) {
			this._slow.copy(this._fast, now);
		}
	}
}

/** The sum of the weights of a decayed mean is half of the number of values that would have the same error. */
function errorOf(mean: DecayedMean, deviation: number, now: number): number {
	return deviation / Math.sqrt(Math.max(0.01, 2 * mean.weight(now)));
}
