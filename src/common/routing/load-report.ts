/** Load reported by a backend server. */
export interface LoadReport {
	/** Time of the report in milliseconds, on the clock of the receiving daemon. */
	readonly at: number;
	/** Requests in the batch. */
	readonly running: number;
	/** Queued requests. */
	readonly queued: number;
	/** Prompt tokens of queued requests. */
	readonly queuedTokens: number;
	/** Prompt tokens of queued urgent requests; absent if the backend server does not prioritise them. */
	readonly urgentQueuedTokens?: number;
	/** Prompt tokens processed per second while prompts are queued. */
	readonly prefillRate: number;
	/** Tokens generated per second by the whole batch. */
	readonly decodeRate: number;
}
