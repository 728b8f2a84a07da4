/** Lease under which this daemon may accept new work with the applied configuration. */
export interface ConfigLease {
	/** End of the lease on the daemon's monotonic clock in milliseconds. */
	readonly expiresAt: number;
	/** Whether the lease is valid now on the daemon's monotonic clock. */
	isValid(): boolean;
}
