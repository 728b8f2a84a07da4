import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {type EngineChunk} from './engine-protocol.js';

/** Converts an engine's chunk; undefined for one without a choice, such as the last one, which has the usage. */
export function answerChunk(chunk: EngineChunk): AnswerChunk | undefined {
	const [choice] = chunk.choices;
	if (!choice) {
		return undefined;
	}

	const logprobs = choice.logprobs?.content ?? [];
	let probability = 0;
	for (const {logprob} of logprobs) {
		probability += Math.exp(logprob);
	}

	return {
		delta: choice.delta,
		finishReason: choice.finish_reason ?? undefined,
		confidence: logprobs.length > 0 ? probability / logprobs.length : undefined,
		logprobs: choice.logprobs ?? undefined,
		tokens: logprobs.length > 0 ? logprobs.length : Number(typeof choice.delta.content === 'string' && choice.delta.content !== ''),
	};
}
