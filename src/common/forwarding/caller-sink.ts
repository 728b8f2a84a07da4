/** Why the router answers a request itself. */
export interface Refusal {
	readonly status: number;
	readonly code: string;
	/** Whether the request has run at a backend server. */
	readonly ran: 'no' | 'unknown';
	/** Time in seconds after which the caller may come back; only where the request has not run. */
	readonly retryAfterSeconds?: number;
}

/** The caller's side of a request. */
export interface CallerSink {
	/** Whether the head of an answer has been sent. */
	readonly isStarted: boolean;
	/** Called once when the caller has left before its answer was complete. */
	onGone: (() => void) | undefined;
	onDrain: (() => void) | undefined;
	/**
	Sends the head of an answer.

	`framing` is the length in bytes, `chunked`, or `until-close` for a body whose end nothing vouches for.
	*/
	head(status: number, headers: readonly string[], framing: number | 'chunked' | 'until-close'): void;
	/** @returns whether the caller keeps up; after false `onDrain` follows. */
	data(chunk: Uint8Array): boolean;
	end(): void;
	/** Breaks the connection, so that an answer that has begun does not look complete. */
	cut(): void;
	/** Answers without a backend server. */
	refuse(refusal: Refusal): void;
}
