import {type VersionRef} from '../documents/version-ref.js';
import {type BilledRequest} from '../ledger/billed-request.js';
import {type AnswerChunk} from './answer-chunk.js';

/** Receives each chunk of an answer as it arrives. If it returns a promise, the next chunk is passed after that resolves. */
export type ChunkListener = (chunk: AnswerChunk) => Promise<void> | undefined;

/** Parameters of a run of one step of a request. */
export interface StepRun {
	readonly ref: VersionRef;
	/** Position of the step in the cascade, from 0. */
	readonly index: number;
	readonly billed: BilledRequest;
	/** Passes chunks to the caller as they arrive; absent when the answer is buffered until it is complete. */
	readonly onChunk?: ChunkListener;
	readonly signal: AbortSignal;
}
