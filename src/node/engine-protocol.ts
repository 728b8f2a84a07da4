/** Headers between an entry host and a backend server. */
export const engineHeaders = {
	attempt: 'catkinbeam-attempt',
	revision: 'catkinbeam-revision',
	startWithinMs: 'catkinbeam-start-within-ms',
	deadlineMs: 'catkinbeam-deadline-ms',
	load: 'catkinbeam-load',
	ran: 'catkinbeam-ran',
	fencing: 'catkinbeam-fencing',
} as const;

/** Path at which engines accept orders. */
export const orderPath = '/v1/orders';

/** Chunk of a streamed chat completion; only the fields that are used. */
export interface EngineChunk {
	readonly choices: ReadonlyArray<{
		readonly delta: Readonly<Record<string, unknown>>;
		readonly finish_reason?: string | undefined;
		readonly logprobs?: {readonly content?: ReadonlyArray<{readonly logprob: number}> | undefined} | undefined;
	}>;
	readonly usage?: {readonly prompt_tokens: number; readonly completion_tokens: number} | undefined;
}
