/** Lease under which this daemon may accept new work with the applied configuration. */
export interface ConfigLease {
	/** End of the lease on the daemon's monotonic clock in milliseconds. */
	readonly expiresAt: number;
	/** Time on the daemon's monotonic clock in milliseconds up to which the applied configuration is known to have been the newest one; -Infinity before the first confirmation. */
	readonly currentUntil: number;
	/** Whether a newer configuration is known to be committed that this daemon has not applied yet. */
	readonly isSuperseded: boolean;
	/** Whether the lease is valid now on the daemon's monotonic clock. */
	isValid(): boolean;
}
