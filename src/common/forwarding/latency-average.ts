/** Weight of a new sample. */
const sampleWeight = 0.15;
/** Time in milliseconds without a sample after which the average begins to fade, so that it is tried again. */
const fadeAfterMs = 400;
/** Half-life in milliseconds of the fading average. */
const fadeHalfLifeMs = 800;

/** Moving average of latencies, which fades while nothing is measured. */
export class LatencyAverage {
	private _meanMs: number | undefined;
	private _sampledAt = 0;

	/** Takes in a sample. */
	add(latencyMs: number, now: number): void {
		const mean = this.at(now);
		this._meanMs = mean === undefined ? latencyMs : mean + (sampleWeight * (latencyMs - mean));
		this._sampledAt = now;
	}

	/** The average in milliseconds; undefined before the first sample. */
	at(now: number): number | undefined {
		const silentMs = now - this._sampledAt - fadeAfterMs;
		return this._meanMs === undefined || silentMs <= 0 ? this._meanMs : this._meanMs * (0.5 ** (silentMs / fadeHalfLifeMs));
	}
}
