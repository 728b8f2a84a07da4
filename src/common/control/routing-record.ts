/** The current routing configuration. */
export interface RoutingRecord {
	readonly version: number;
	/** Configuration as submitted. */
	readonly source: string;
	/** Revision at which the configuration was applied. */
	readonly revision: number;
}
