/** Input of the thread that simulates the entry hosts, with one connection each and batches encoded in advance. */
export interface HttpWorkerData {
	readonly port: number;
	/** Request bodies of each connection, sent in order. */
	readonly bodies: ReadonlyArray<readonly string[]>;
}
