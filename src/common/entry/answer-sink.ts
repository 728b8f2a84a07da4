import {type VersionRef} from '../documents/version-ref.js';
import {type AnswerChunk} from './answer-chunk.js';

/** Properties of an answer that are known before its first byte is sent. */
export interface AnswerHead {
	readonly requestId: string;
	readonly ref: VersionRef;
}

/** Properties of an answer that are known once it is billed. */
export interface AnswerTail {
	readonly cost: number;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly finishReason: string;
}

/** Receives the answer of a request and sends it to the caller. */
export interface AnswerSink {
	/** Called once, before the first chunk. */
	start(head: AnswerHead): void;
	/** @returns a promise that resolves when the caller can accept more data; undefined when it can at once. */
	write(chunk: AnswerChunk): Promise<void> | undefined;
	/** Called once, when the answer is complete and billed. */
	end(tail: AnswerTail): void;
}
