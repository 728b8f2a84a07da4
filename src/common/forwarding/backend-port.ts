import {type AnswerHead, type AttemptTerms, type ForwardMessage} from './forward-request.js';
import {type ServerLoad} from './server-load.js';

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

/** Address of a backend server, with the maximum number of connections of this host to it. */
export type BackendTarget = Pick<AttemptTerms, 'serverId' | 'address' | 'maxConnections'>;

/** Sends requests to backend servers. */
export interface BackendPort {
	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle;
	/** Resolves to the load that a model engine reports; undefined when it gives no report in time. Never rejects. */
	readLoad(target: BackendTarget, timeoutMs: number): Promise<ServerLoad | undefined>;
}
