import {type VersionRef} from '../documents/version-ref.js';
import {type AnswerChunk} from './answer-chunk.js';
import {type AnswerCollector} from './answer-collector.js';
import {type EngineUsage} from './engine-client.js';

/** Complete answer of one step of a cascade. */
export interface StepAnswer {
	readonly attemptId: string;
	readonly ref: VersionRef;
	readonly chunks: readonly AnswerChunk[];
	readonly text: string;
	/** Mean token probability; undefined when the engine does not report it. */
	readonly confidence: number | undefined;
	readonly usage: EngineUsage;
	readonly finishReason: string;
	readonly firstTokenMs: number;
	readonly betweenTokensMs: number;
}

/** Creates the answer of a step from its collected chunks. */
export function stepAnswer(attemptId: string, ref: VersionRef, collector: AnswerCollector, usage: EngineUsage): StepAnswer {
	return {
		attemptId,
		ref,
		chunks: collector.chunks,
		text: collector.text,
		confidence: collector.confidence,
		// A resumed answer contains tokens of several attempts.
		usage: {...usage, outputTokens: collector.tokens},
		finishReason: collector.finishReason!,
		firstTokenMs: collector.firstTokenMs,
		betweenTokensMs: collector.betweenTokensMs,
	};
}
