/** Part of an answer. */
export interface AnswerChunk {
	/** The `delta` of a chat completion chunk. */
	readonly delta: Readonly<Record<string, unknown>>;
	/** Set on the last part. */
	readonly finishReason?: string;
	/** Mean token probability of this part in [0, 1]; undefined when the engine does not report it. */
	readonly confidence?: number;
	/** Log probabilities as sent by the engine; set only when the caller requested them. */
	readonly logprobs?: unknown;
	/** Number of tokens in this part. */
	readonly tokens: number;
}
