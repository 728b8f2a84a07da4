import {type AnswerFraming} from './answer-framing.js';

/** An error response of the router itself. */
export interface Refusal {
	readonly status: number;
	readonly code: string;
	/** Whether the request has run at a backend server. */
	readonly ran: 'no' | 'unknown';
	/** Time in seconds after which the caller may retry; set only when the request has not run. */
	readonly retryAfterSeconds?: number;
}

/** The caller's side of a request. */
export interface CallerSink {
	/** Whether the head of an answer has been sent. */
	readonly isStarted: boolean;
	/** Framing of the answer whose head has been sent. */
	readonly framing: AnswerFraming | undefined;
	/** Called once when the caller has disconnected before its answer was complete. */
	onDisconnect: (() => void) | undefined;
	onDrain: (() => void) | undefined;
	/**
	Sends the head of an answer.

	`framing` is the length in bytes, `chunked`, or `until-close` for a body that ends with its connection.
	*/
	writeHead(status: number, headers: readonly string[], framing: number | 'chunked' | 'until-close'): void;
	/** @returns whether the caller keeps up; after false, `onDrain` follows. */
	write(chunk: Uint8Array): boolean;
	end(): void;
	/** Closes the connection abruptly, so that a started answer does not look complete. */
	destroy(): void;
	/** Answers the request with an error of the router. */
	refuse(refusal: Refusal): void;
}
