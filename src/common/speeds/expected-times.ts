import {DecayedLine} from '../forwarding/decayed-line.js';

/** Half-life in milliseconds of samples; a host sends about one request a second to a model. */
const halfLifeMs = 20_000;
/** Number of samples before a time is expected. */
const minSamples = 5;
/** Factor over the expected time at which a sample is cut off, so that a few very slow answers do not change what is expected. */
const maxFactor = 4;
/** Shortest time in milliseconds that is expected; shorter ones are not told apart. */
const minTimeMs = 0.1;

/**
Times that this host expects of similar attempts, over all servers. Unlike `ModelSpeed`, the times do not decay without samples,
because a decayed time would make the next server look slow.
*/
export class ExpectedTimes {
	private readonly _line = new DecayedLine(halfLifeMs);
	private _samples = 0;

	/** Expected time in milliseconds for an attempt of a size; undefined before there are enough samples. */
	at(size: number): number | undefined {
		return this._samples < minSamples ? undefined : Math.max(minTimeMs, this._line.at(size));
	}

	add(size: number, timeMs: number, now: number): void {
		this._samples++;
		this._line.add(size, Math.min(timeMs, (this.at(size) ?? Infinity) * maxFactor), now);
	}
}
