/** Load that a backend server reported. */
export interface BackendLoad {
	/** Requests in the batch. */
	readonly running: number;
	/** Requests in the queue. */
	readonly queued: number;
	/** Prompt tokens in the queue. */
	readonly queuedTokens: number;
	/** Prompt tokens processed per second. */
	readonly prefillRate: number;
	/** Tokens generated per second, over the whole batch. */
	readonly decodeRate: number;
}
