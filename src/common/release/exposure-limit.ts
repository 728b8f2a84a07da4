/** Limit on the requests that a release receives from its order to the end of its duration, while it may be bad. */
export interface ExposureLimit {
	/** Share of all requests of the service. */
	readonly share: number;
	/** Requests in addition. */
	readonly slack: number;
}
