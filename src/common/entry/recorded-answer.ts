import {type VersionRef} from '../documents/version-ref.js';
import {type StepAnswer} from './step-answer.js';

/** Maximum length of a recorded answer in characters; a longer answer is not replayed when the request is resent. */
export const maxRecordedCharacters = 16_384;

/** Answer to a request with an idempotency key, as recorded in the ledger. */
export interface RecordedAnswer {
	readonly ref: VersionRef;
	readonly delta: Readonly<Record<string, unknown>>;
	readonly finishReason: string;
	readonly inputTokens: number;
	readonly outputTokens: number;
}

/** Encodes an answer for the ledger; returns undefined when it is too long or contains more than text. */
export function encodeRecordedAnswer(answer: StepAnswer): string | undefined {
	const isText = answer.chunks.every(({delta}) => Object.keys(delta).every(key => key === 'role' || key === 'content'));
	if (!isText) {
		return undefined;
	}

	const recorded: RecordedAnswer = {
		ref: answer.ref,
		delta: {role: 'assistant', content: answer.text},
		finishReason: answer.finishReason,
		...answer.usage,
	};
	const text = JSON.stringify(recorded);
	return text.length <= maxRecordedCharacters ? text : undefined;
}

/** Decodes a recorded answer. */
export function decodeRecordedAnswer(text: string): RecordedAnswer {
	return JSON.parse(text) as RecordedAnswer;
}
