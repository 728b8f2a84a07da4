/** Limit on the number of requests that may run concurrently. */
export interface ConcurrencyLimit {
	/** Current limit, at least 1. */
	readonly current: number;
	/** Records that requests are queued because the limit is reached. */
	recordSaturation(): void;
}
