/** An answer to be rated. */
export interface RatingRequest {
	readonly attemptId: string;
	readonly service: string;
	readonly prompt: string;
	readonly answer: string;
}

/** Client of the rating service. */
export interface RatingClient {
	/** Whether the rating service is available. */
	readonly isAvailable: boolean;
	/**
	Rating in [0, 1].

	@throws RatingError when the rating service gives no rating.
	*/
	rate(req: RatingRequest, signal?: AbortSignal): Promise<number>;
}
