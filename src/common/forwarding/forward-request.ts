import {type AnswerFraming} from './answer-framing.js';
import {type Repetition} from './routing-config.js';

/** A part of a prompt that several requests may share. */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

/** The generation parameters of a request to a model engine. */
export interface GenerationInfo {
	/** Model that the caller asks for; undefined when any model of the route may answer. */
	readonly model: string | undefined;
	readonly inputTokens: number;
	/** Maximum length of the answer in tokens. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the answer's length in tokens. */
	readonly expectedOutputTokens: number | undefined;
	/** Parts of the prompt in order; the last one belongs to the request or its session alone. */
	readonly parts: readonly PromptPart[];
}

/** A request of a caller, independent of the interface by which it arrived. */
export interface ForwardRequest {
	/** ID of the caller's attempt; unique over all requests. */
	readonly id: string;
	readonly hostname: string;
	/** Path without the query. */
	readonly path: string;
	/** The customer's key. */
	readonly key: string | undefined;
	/** Time in milliseconds that the caller waits, counted from the arrival of the request. */
	readonly deadlineMs: number | undefined;
	readonly session: string | undefined;
	readonly generation: GenerationInfo | undefined;
	/** ID of the last event of an interrupted stream that the caller has received. */
	readonly resumeAfter: number | undefined;
	/** Attempts left of a request that another entry host has handed over; undefined for a request of a caller. */
	readonly attemptsLeft?: number | undefined;
	/** Method, target, headers and body for the backend server; opaque to the forwarder. */
	readonly message: ForwardMessage;
}

/** The forwarded part of a request. */
export interface ForwardMessage {
	readonly method: string;
	/** Path with the query. */
	readonly target: string;
	/** Alternating names and values, without hop-by-hop headers and headers that the router sets. */
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
}

/** The fields that the router adds to a request for one attempt at one backend server. */
export interface AttemptTerms {
	/** ID of the caller's attempt. */
	readonly requestId: string;
	readonly serverId: string;
	readonly address: string;
	/** Maximum number of connections of this host to the backend server. */
	readonly maxConnections: number;
	/** Time in milliseconds until the deadline of the answer. */
	readonly remainingMs: number;
	readonly customer: string | undefined;
	/** Model of the attempt; undefined for requests to plain services. */
	readonly model: string | undefined;
	/** Priority at the backend server; 0 is the most urgent. */
	readonly priority: number | undefined;
	/** ID of the last event that the caller has received, from an earlier attempt or an earlier request. */
	readonly resumeAfter: number | undefined;
	readonly repetition: Repetition;
	/** Set when the request goes to another entry host instead of a backend server. */
	readonly handOver?: HandOverTerms;
}

/** What another entry host needs to take a request over. */
export interface HandOverTerms {
	/** The customer's key. */
	readonly key: string | undefined;
	readonly attemptsLeft: number;
}

/** Head of an answer of a backend server. */
export interface AnswerHead {
	readonly status: number;
	/** Alternating names and values, for the caller. */
	readonly headers: readonly string[];
	/** Whether the backend server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another entry host refused a request handed over to it for a reason of its own, so that a third one may take it. */
	readonly isHostFault: boolean;
	/** Whether a process other than the intended one answered. */
	readonly isOtherServer: boolean;
	/** Whether the answer carries the backend server's signature. */
	readonly isSigned: boolean;
	/** Whether the answer names this request; otherwise it belongs to an earlier request on the same connection. */
	readonly isForRequest: boolean;
	/** The model's confidence in its answer, from 0 to 100. */
	readonly confidence: number | undefined;
	/** Request rate in 1/s that the backend server takes from all hosts together; undefined without a limit. */
	readonly requestsPerSecond: number | undefined;
	/** Length of the body in bytes; undefined when the head does not state it. */
	readonly length: number | undefined;
	/** What marks the end of the body. */
	readonly framing: AnswerFraming;
	/** Time in seconds after which the backend server may be asked again. */
	readonly retryAfterSeconds: number | undefined;
	/** Refusals for want of room in a second, over all hosts, above which the backend server ends; undefined while it bears any number. */
	readonly maxRefusalsPerSecond: number | undefined;
	/** Whether the backend server states that it is leaving and must get no new requests. */
	readonly isLeaving: boolean;
}
