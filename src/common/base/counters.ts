/** Tags of a metric. */
export type Tags = Readonly<Record<string, string>>;

/** Sink for counters, gauges and timings. */
export interface Counters {
	increment(name: string, value?: number, tags?: Tags): void;
	gauge(name: string, value: number, tags?: Tags): void;
	/** Duration in milliseconds. */
	timing(name: string, durationMs: number, tags?: Tags): void;
}
