import {type AnswerHead, type AttemptTerms, type ForwardMessage} from './forward-request.js';

/** Why an attempt failed. */
export interface AttemptFailure {
	/** Whether certainly no byte of the request was written. */
	readonly isUnsent: boolean;
	readonly reason: string;
}

/** Events of one attempt, in order: a head, data, then an end; or a failure at any point. */
export interface AttemptEvents {
	onHead(head: AnswerHead): void;
	/** @returns whether to go on reading; after false `AttemptHandle.resume` continues. */
	onData(chunk: Uint8Array): boolean;
	onEnd(): void;
	onFailure(failure: AttemptFailure): void;
}

/** A running attempt. */
export interface AttemptHandle {
	/** Ends the attempt and closes its connection; no event follows. */
	abort(): void;
	resume(): void;
}

/** Sends requests to backend servers. */
export interface BackendPort {
	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle;
}
