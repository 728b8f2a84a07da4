/** Smoothing factor: the weight of a new sample. */
const sampleWeight = 0.15;
/** Time in milliseconds without a sample after which the average begins to decay, so that the model is asked again. */
const decayAfterMs = 400;
/** Half-life in milliseconds of the decay. */
const decayHalfLifeMs = 800;

/** Exponential moving average of latencies that decays while there are no samples. */
export class LatencyAverage {
	private _meanMs: number | undefined;
	private _sampledAt = 0;

	/** Adds a sample. */
	add(latencyMs: number, now: number): void {
		const mean = this.at(now);
		this._meanMs = mean === undefined ? latencyMs : mean + (sampleWeight * (latencyMs - mean));
		this._sampledAt = now;
	}

	/** The average in milliseconds; undefined before the first sample. */
	at(now: number): number | undefined {
		const decayMs = now - this._sampledAt - decayAfterMs;
		return this._meanMs === undefined || decayMs <= 0 ? this._meanMs : this._meanMs * (0.5 ** (decayMs / decayHalfLifeMs));
	}
}
