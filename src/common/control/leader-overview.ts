/** One daemon process as known to the control leader. */
export interface DaemonOverview {
	readonly host: string;
	readonly incarnation: number;
	/** Index of the control log that the process has applied. */
	readonly applied: number;
	/** Milliseconds since its last renewal. */
	readonly seenAgoMs: number;
	/** Milliseconds until its lease ends; 0 without a lease. */
	readonly leaseEndsInMs: number;
	/** Whether it has released its lease for a planned stop. */
	readonly released: boolean;
}

/** The control leader and the daemons that renew at it. */
export interface LeaderOverview {
	readonly leader: string;
	readonly term: number;
	readonly commitIndex: number;
	readonly daemons: readonly DaemonOverview[];
}
