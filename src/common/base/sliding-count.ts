/** Number of buckets that a window is divided into. */
const bucketsPerWindow = 40;

/** Counts events within a sliding window of time. */
export class SlidingCount {
	private readonly _bucketMs: number;
	private readonly _counts = Array.from({length: bucketsPerWindow + 1}, () => 0);
	private _newest = -Infinity;

	constructor(windowMs: number) {
		this._bucketMs = windowMs / bucketsPerWindow;
	}

	add(now: number): void {
		this._advance(now);
		this._counts[this._newest % this._counts.length]!++;
	}

	/** Number of events in the window that ends now; may include events that are older by up to one bucket. */
	atMost(now: number): number {
		this._advance(now);
		return this._counts.reduce((sum, count) => sum + count, 0);
	}

	/** Number of events in the window that ends now; may leave out the oldest ones, of up to one bucket. */
	atLeast(now: number): number {
		return this.atMost(now) - this._counts[(this._newest + 1) % this._counts.length]!;
	}

	/** Moves to the bucket of a time, and clears the buckets that it reuses. */
	private _advance(now: number): void {
		const bucket = Math.floor(now / this._bucketMs);
		const first = Math.max(this._newest + 1, bucket - this._counts.length + 1);
		for (let cleared = first; cleared <= bucket; cleared++) {
			this._counts[cleared % this._counts.length] = 0;
		}

		this._newest = Math.max(this._newest, bucket);
	}
}
