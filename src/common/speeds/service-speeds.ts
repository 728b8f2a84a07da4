import {DecayedMean} from './decayed-mean.js';
import {type ServerSpeed, type SignalName} from './server-speed.js';
import {weightLevel} from './weight-level.js';

/** Half-life in milliseconds of the differences of observations from the estimates. */
const halfLifeMs = 10_000;
/** Variance of the logarithm of a ratio that is assumed at first, and the number of observations for which the assumption counts. */
const assumed = {variance: 0.25, observations: 10} as const;
/** Largest square of a difference that counts, so that a change of speed does not pass for noise. */
const maxSquare = 1;

/** Slowness, as a logarithm, from which a single server has a weight other than 1 although the others are equal, a factor of 2, which chance does not reach, and below which it no longer has. */
const singleSlowness = {from: Math.log(2), below: Math.log(1.5)} as const;
/** Share of the servers that differ from the median from which a service counts as one with unequal servers, and below which it no longer does. */
const unequalShare = {from: 0.2, below: 0.1} as const;
/** Minimum number of such servers; in a service with few servers a single one would be a large share. */
const minUnequal = 2;

/**
Compares the servers of one service with each other.

Among equal servers, chance makes a few look different, and moving their load would only cost prompt parts that are kept. So small
differences count only where many servers differ; a large one always counts.
*/
export class ServiceSpeeds {
	private _isUnequal = false;
	/** Squares of differences from the estimates, less the assumed variance. */
	private readonly _squares = new DecayedMean(halfLifeMs, assumed.observations);

	/** Records by how much the mean of some observations differs from the estimate of their server. */
	recordDifference(difference: number, count: number, now: number): void {
		this._squares.add(Math.min(maxSquare, count * (difference ** 2)) - assumed.variance, 1, now);
	}

	/** Standard deviation of an observation. */
	deviation(now: number): number {
		return Math.sqrt(Math.max(0.01, assumed.variance + this._squares.at(now)));
	}

	/** Sets the levels of servers by their estimates relative to the median. @returns the servers whose level has changed. */
	changedServers(servers: readonly ServerSpeed[], now: number): ServerSpeed[] {
		const deviation = this.deviation(now);
		const medians = {first: medianOf(servers, 'first', now), pace: medianOf(servers, 'pace', now)};
		const compared = servers.map(server => {
			// The signal that shows the slower server counts: one that starts answers late or one that continues them slowly handles less load.
			// An estimate fades to the median, not to 0: the median of all servers rises in a burst, and a server without observations is not faster for that.
			const relative = server.known(now).map(name => {
				const signal = server.signals[name];
				return {slowness: (signal.latest(now) - medians[name]) * signal.freshness(now), error: signal.error(deviation, now)};
			});
			const slowest = relative.find(({slowness}) => slowness === Math.max(...relative.map(other => other.slowness)));
			return {server, slowness: slowest?.slowness ?? 0, level: slowest ? weightLevel(slowest.slowness, slowest.error, server.level) : 0};
		});
		const different = compared.filter(({level}) => level !== 0).length;
		this._isUnequal = different >= Math.max(minUnequal, compared.length * (this._isUnequal ? unequalShare.below : unequalShare.from));
		return compared.filter(({server, slowness, level}) => {
			const previous = server.level;
			const isLarge = Math.abs(slowness) >= (previous === 0 ? singleSlowness.from : singleSlowness.below);
			server.level = this._isUnequal || isLarge ? level : 0;
			return server.level !== previous;
		}).map(({server}) => server);
	}
}

/** Median of the estimates of the servers that are known; a single changed server does not move it. */
function medianOf(servers: readonly ServerSpeed[], signal: SignalName, now: number): number {
	const values = servers.filter(server => server.known(now).includes(signal)).map(server => server.signals[signal].latest(now)).sort((left, right) => left - right);
	const middle = values.length / 2;
	return values.length === 0 ? 0 : (values[Math.ceil(middle) - 1]! + values[Math.floor(middle)]!) / 2;
}
