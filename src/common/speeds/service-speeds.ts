import {DecayedMean} from './decayed-mean.js';
import {type ServerSpeed, type SignalName} from './server-speed.js';
import {weightLevel} from './weight-level.js';

/** Half-life in milliseconds of the differences of observations from the estimates. */
const halfLifeMs = 10_000;
/** Variance of the logarithm of a ratio that is assumed at first, and the number of observations for which the assumption counts. */
const assumed = {variance: 0.25, observations: 10} as const;
/** Largest square of a difference that counts, so that a change of speed does not pass for noise. */
const maxSquare = 1;

/** Compares the servers of one service with each other. */
export class ServiceSpeeds {
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
		return servers.filter(server => {
			const {level} = server;
			// The signal that shows the slower server counts: one that starts answers late or one that continues them slowly handles less load.
			const relative = server.known(now).map(name => ({slowness: server.signals[name].at(now) - medians[name], error: server.signals[name].error(deviation, now)}));
			const slowest = relative.find(({slowness}) => slowness === Math.max(...relative.map(other => other.slowness)));
			server.level = slowest ? weightLevel(slowest.slowness, slowest.error, level) : 0;
			return server.level !== level;
		});
	}
}

/** Median of the estimates of the servers that are known; a single changed server does not move it. */
function medianOf(servers: readonly ServerSpeed[], signal: SignalName, now: number): number {
	const values = servers.filter(server => server.known(now).includes(signal)).map(server => server.signals[signal].at(now)).sort((left, right) => left - right);
	const middle = values.length / 2;
	return values.length === 0 ? 0 : (values[Math.ceil(middle) - 1]! + values[Math.floor(middle)]!) / 2;
}
