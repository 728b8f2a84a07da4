/** Prompt size classes with their upper bounds in tokens. */
const sizeClasses = [
	{limit: 256, name: 'short'},
	{limit: 2048, name: 'medium'},
] as const;

/** Returns the class given by the caller, or else one derived from the size of the prompt. */
export function requestClass(given: string | undefined, inputTokens: number): string {
	return given ?? sizeClasses.find(({limit}) => inputTokens <= limit)?.name ?? 'long';
}
