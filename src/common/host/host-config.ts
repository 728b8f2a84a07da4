/** Settings of a host. */
export interface HostConfig {
	readonly host: string;
	readonly zone: string;
	readonly region: string;
	/** Names of the voter hosts with their control addresses. */
	readonly voters: ReadonlyMap<string, string>;
	/** Whether the host may create new logs. */
	readonly bootstrap: boolean;
	/** Time in seconds for which callers may cache the list of entry hosts. */
	readonly keepSeconds: number;
	/** Time in milliseconds for which records without a waiting request are delayed, so that they share a batch. */
	readonly ledgerLingerMs: number;
	/** Minimum time in seconds between two loads from the weight store, across the whole system. */
	readonly loadIntervalSeconds: number;
	/** Maximum number of requests in flight. */
	readonly maxConcurrent: number;
}
