import {DecayedMean} from './decayed-mean.js';

/** Half-life in milliseconds of the steady estimate. With 6 s, noise of a factor 2.5 moved 0.08 of the load of equal servers in trials, with 12 s 0.06. */
export const steadyHalfLifeMs = 16_000;
/** Half-life in milliseconds of the estimate that finds changes. With 500 ms, servers with 3.5 requests a second that became 5 times slower lost a quarter of their weight a second later in trials. */
const quickHalfLifeMs = 250;
/** Number of observations without a difference that are added to either estimate. */
const prior = {steady: 0.5, quick: 0.3} as const;
/** Difference between both estimates from which the server has changed, a factor of 3. With a factor of 2.6, noise of a factor 2.5 and the queues that it causes moved 0.14 of the load in trials, and 0.11 with this one. */
const minChange = 1.1;
/** The same in standard errors of the quick estimate. */
const minChangeErrors = 2;
/** Time in milliseconds after a change to a slower speed in which only a part of it counts: after noise, which lasts 600 ms, the server is found to be as fast as before. */
const confirmMs = 1800;
/** Largest part, as a logarithm, that counts in this time; with a weight of 0.55 more than half of the surplus load is gone. */
const maxUnconfirmed = 0.6;
/** Time in milliseconds after a change in which the estimate needs no further evidence against chance. */
const settleMs = 5000;
/** Time in milliseconds without observations after which the estimate begins to return to 0; a server at the lowest weight gets a request every two seconds. */
const freshMs = 3000;
/** Time in milliseconds in which it returns to 0. */
const fadeMs = 3000;

/** Estimate of the logarithm of observed / expected time of one process: steady while nothing changes, and quick when the process changes by much. */
export class SpeedSignal {
	private readonly _steady = new DecayedMean(steadyHalfLifeMs, prior.steady);
	private readonly _quick = new DecayedMean(quickHalfLifeMs, prior.quick);
	private _observedAt = -Infinity;
	private _changedAt = -Infinity;
	/** Time of the last change to a slower speed, and the estimate before it. */
	private _slowedAt = -Infinity;
	private _before = 0;

	/** Returns the number of observations on which the estimate is based. */
	weight(now: number): number {
		return this._steady.weight(now);
	}

	at(now: number): number {
		return this.latest(now) * this.freshness(now);
	}

	/** Returns the estimate of the last observations, however old they are. */
	latest(now: number): number {
		const limit = now - this._slowedAt < confirmMs ? this._before + maxUnconfirmed : Infinity;
		return Math.min(this._steady.at(now), limit);
	}

	/** Returns how much the last observations still count, from 0 to 1. */
	freshness(now: number): number {
		return Math.min(1, Math.max(0, (this._observedAt + freshMs + fadeMs - now) / fadeMs));
	}

	/** Standard error of the estimate, given the standard deviation of observations; 0 shortly after a change, which was significant. */
	error(deviation: number, now: number): number {
		return now - this._changedAt < settleMs ? 0 : errorOf(this._steady, deviation, now);
	}

	/** Adds observations with their mean. */
	add(mean: number, count: number, deviation: number, now: number): void {
		this._steady.add(mean, count, now);
		this._quick.add(mean, count, now);
		this._observedAt = now;
		const change = this._quick.at(now) - this._steady.at(now);
		if (Math.abs(change) > Math.max(minChange, minChangeErrors * errorOf(this._quick, deviation, now))) {
			if (change > 0 && now - this._slowedAt > confirmMs) {
				this._before = this._steady.at(now);
				this._slowedAt = now;
			}

			this._changedAt = now;
			this._steady.copy(this._quick, now);
		}
	}
}

function errorOf(mean: DecayedMean, deviation: number, now: number): number {
	return deviation / Math.sqrt(Math.max(0.02, mean.effectiveCount(now)));
}
