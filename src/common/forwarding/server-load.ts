/** Load that a model engine reports. */
export interface ServerLoad {
	/** Requests in the batch that have produced an event. */
	readonly generating: number;
	/** Requests whose prompt is not yet processed, in the batch or queued. */
	readonly waiting: number;
}
