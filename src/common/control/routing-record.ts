/** The routing configuration in place. */
export interface RoutingRecord {
	readonly version: number;
	/** The configuration as it was submitted. */
	readonly source: string;
	/** Revision of the change. */
	readonly revision: number;
}
