import {type AnswerHead, type AttemptTerms, type ForwardMessage} from './forward-request.js';

/** Why an attempt failed. */
export interface AttemptFailure {
	/** Whether it is certain that no byte of the request was written. */
	readonly isUnsent: boolean;
	readonly reason: string;
}

/** Events of one attempt, in this order: head, data, end. A failure can come at any point and ends the sequence. */
export interface AttemptEvents {
	onHead(head: AnswerHead): void;
	/** @returns whether to continue reading; false pauses reading until `AttemptHandle.resume`. */
	onData(chunk: Uint8Array): boolean;
	onEnd(): void;
	onFailure(failure: AttemptFailure): void;
}

/** An attempt in flight. */
export interface AttemptHandle {
	/** Cancels the attempt and closes its connection; no event follows. */
	abort(): void;
	resume(): void;
}

/** Sends requests to backend servers. */
export interface BackendPort {
	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle;
}
