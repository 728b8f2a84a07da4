import {type GenerationInfo} from './forward-request.js';

/** Returns the length of an answer in tokens as the caller expects it. */
export function outputTokens({expectedOutputTokens, maxOutputTokens}: GenerationInfo): number {
	return Math.max(1, expectedOutputTokens ?? maxOutputTokens);
}
