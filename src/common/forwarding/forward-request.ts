import {type Repetition} from './routing-config.js';

/** A part of a prompt that several requests may share. */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

/** What a request to a model engine says about its work. */
export interface GenerationInfo {
	/** Model that the caller asks for; undefined when the route's models may answer. */
	readonly model: string | undefined;
	readonly inputTokens: number;
	/** Longest answer in tokens. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the answer's length in tokens. */
	readonly expectedOutputTokens: number | undefined;
	/** Parts of the prompt in order; the last one belongs to the request or its session. */
	readonly parts: readonly PromptPart[];
}

/** A request of a caller, whatever interface it came by. */
export interface ForwardRequest {
	/** Identity of the caller's attempt; unique over all requests. */
	readonly id: string;
	readonly hostname: string;
	/** Path without the query. */
	readonly path: string;
	/** The customer's key. */
	readonly key: string | undefined;
	/** Time in milliseconds that the caller waits, from its arrival. */
	readonly deadlineMs: number | undefined;
	readonly session: string | undefined;
	readonly generation: GenerationInfo | undefined;
	/** Number of the last event that the caller already has of an interrupted stream. */
	readonly resumeAfter: number | undefined;
	/** Method, target, headers and body for the backend server; opaque to the forwarder. */
	readonly message: ForwardMessage;
}

/** The forwarded part of a request. */
export interface ForwardMessage {
	readonly method: string;
	/** Path with the query. */
	readonly target: string;
	/** Names and values in turn, without those that belong to one connection or are the router's to set. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
}

/** What the router adds for one attempt at one backend server. */
export interface AttemptTerms {
	/** Identity of the caller's attempt. */
	readonly requestId: string;
	readonly serverId: string;
	readonly address: string;
	/** Most connections of this host to the backend server. */
	readonly maxConnections: number;
	/** Time in milliseconds that is left for the answer. */
	readonly remainingMs: number;
	readonly customer: string | undefined;
	/** Model, where the router chooses it. */
	readonly model: string | undefined;
	/** Rank for the backend server; 0 is the most urgent. */
	readonly priority: number | undefined;
	/** Number of the last event received from an earlier attempt or by the caller. */
	readonly resumeAfter: number | undefined;
	readonly repetition: Repetition;
}

/** Head of an answer of a backend server. */
export interface AnswerHead {
	readonly status: number;
	/** Names and values in turn, for the caller. */
	readonly headers: readonly string[];
	/** Whether the backend server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another process than the intended one answered. */
	readonly isOtherServer: boolean;
	/** Whether the answer bears the backend server's signature. */
	readonly isSigned: boolean;
	/** Whether the answer names this request; another one belongs to an earlier request. */
	readonly isForRequest: boolean;
	/** The model's opinion of its answer, from 0 to 100. */
	readonly confidence: number | undefined;
	/** Length of the body in bytes, where the head tells. */
	readonly length: number | undefined;
	/** Whether the body ends with its connection, so that nothing tells a complete one from a short one. */
	readonly isUnframed: boolean;
	/** Time in seconds after which the backend server wants to be asked again. */
	readonly retryAfterSeconds: number | undefined;
}
