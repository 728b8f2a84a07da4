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
	/** Whether the caller can tell a stream that is complete from one that is cut off, also when this process is killed. */
	readonly canStream: boolean;
	/** Called once when the caller has disconnected before its answer was complete. */
	onDisconnect: (() => void) | undefined;
	onDrain: (() => void) | undefined;
	/** Sends the head of an answer with a body of `length` bytes, or of a stream if it is undefined. What marks the end of a stream depends on the caller only. */
	writeHead(status: number, headers: readonly string[], length: number | undefined): void;
	/** @returns whether the caller keeps up; after false, `onDrain` follows. */
	write(chunk: Uint8Array): boolean;
	/** Ends an answer that is complete. */
	end(): void;
	/** Closes the connection in such a way that its caller cannot take the answer for complete. */
	break(): void;
	/** Answers the request with an error of the router. */
	refuse(refusal: Refusal): void;
}
