import {type AnswerHead, type AttemptTerms, type ForwardMessage} from './forward-request.js';

/** Why an attempt failed. */
export interface AttemptFailure {
	/** Whether it is certain that no byte of the request was written. */
	readonly isUnsent: boolean;
	readonly reason: string;
}

/** Why an attempt ends that was withdrawn while it waited for a connection. */
export const withdrawnReason = 'withdrawn';

/** Events of one attempt, in this order: start, head, data, end. A failure can come at any point and ends the sequence. */
export interface AttemptEvents {
	/** Called when a connection is free. @returns whether to write the request; false ends the attempt with an unsent failure and `withdrawnReason`. */
	mayStart(): boolean;
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
