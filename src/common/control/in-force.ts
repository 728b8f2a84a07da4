/** An entry host that holds a lease and has not applied a revision. */
export interface LaggingHost {
	readonly host: string;
	readonly incarnation: number;
	readonly applied: number;
	/** Time in milliseconds until its lease has certainly expired. */
	readonly leaseEndsInMs: number;
}

/** Whether a revision is in force. */
export interface InForceReply {
	readonly revision: number;
	readonly inForce: boolean;
	/** Whether the revision is committed. */
	readonly committed: boolean;
	/** Time in milliseconds until the leases of earlier leaders have certainly expired; 0 once they have. */
	readonly oldLeasesEndInMs: number;
	readonly behind: readonly LaggingHost[];
}
