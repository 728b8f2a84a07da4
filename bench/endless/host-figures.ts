/** What a host read from the servers at an address. */
export type ReadFigures = {
	readonly bytes: number;
	/** Most bytes of one connection. */
	readonly longest: number;
	readonly connections: number;
};

/** What `host-probe` measured since it was last asked. */
export type HostFigures = {
	/** By the address of the servers, without ports. */
	readonly reads: Readonly<Record<string, ReadFigures>>;
	/** Longest pause of the event loop, with the time that other processes took. */
	readonly longestPauseMs: number;
	/** Longest pause for which the process itself used the processor. */
	readonly longestHeldMs: number;
	readonly processorMs: number;
	/** Highest resident set size. */
	readonly peakBytes: number;
};
