/** Average number of characters per token in English and Spanish text. */
const charactersPerToken = 4;

/** Estimates the number of tokens of a text; engines report the actual number afterwards. */
export function estimateTokens(text: string): number {
	return Math.max(1, Math.ceil(text.length / charactersPerToken));
}
