import {type VersionRef} from '../documents/version-ref.js';

/** Result of an attempt, or the rating of its answer, which may arrive much later. */
export interface AttemptOutcome {
	readonly attemptId: string;
	readonly service: string;
	readonly requestClass: string;
	readonly ref: VersionRef;
	/** Step of the cascade, counted from 0; escalated requests are harder than those of step 0. */
	readonly step: number;
	/** Earlier steps of the same request in order, with the confidence of their answers; absent on step 0. */
	readonly earlier?: ReadonlyArray<{readonly ref: VersionRef; readonly confidence: number}>;
	/** Whether the earlier answers were rejected regardless of their confidence, as in an exploration; the request is then no harder than others. */
	readonly unconditional?: boolean;
	/** Whether the session was pinned to the version; such requests are not a representative sample of their class. */
	readonly pinned?: boolean;
	/** Whether the answer was delivered to the caller; defaults to true. */
	readonly delivered?: boolean;
	readonly result: 'answered' | 'error' | 'empty' | 'truncated';
	/** Mean token probability in [0, 1]; absent when the engine does not report it. */
	readonly confidence?: number;
	/** Rating in [0, 1]; absent when the answer has not been rated. */
	readonly rating?: number;
	/** Whether the answer was sent to the rating service; defaults to false. */
	readonly ratingRequested?: boolean;
	/** Probability with which this answer was chosen for rating. */
	readonly ratingProbability: number;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
}
