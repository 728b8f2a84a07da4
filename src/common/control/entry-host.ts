/** One process of an entry host. */
export interface EntryHost {
	readonly host: string;
	/** Start time of the process in Unix milliseconds. */
	readonly incarnation: number;
	/** `host:port` for callers. */
	readonly address: string;
	/** `host:port` for peers. */
	readonly peerAddress: string;
	readonly zone: string;
	readonly leaving: boolean;
	/** Processors that the process may use; undefined when unknown. */
	readonly capacity?: number | undefined;
}

/** Returns the capacity of a host if it is a positive number; any other one would leave the lists of all callers empty. */
export function knownCapacity({capacity}: EntryHost): number | undefined {
	return capacity !== undefined && Number.isFinite(capacity) && capacity > 0 ? capacity : undefined;
}
