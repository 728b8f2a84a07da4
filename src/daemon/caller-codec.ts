import {type ForwardRequest} from '../common/forwarding/forward-request.js';
import {type Refusal} from '../common/forwarding/caller-sink.js';

/** A request as received by the HTTP server. `headers` alternates names and values. */
export interface RawRequest {
	readonly method: string;
	readonly target: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
}

/** Converts HTTP requests to forward requests, and refusals to response headers. */
export interface CallerCodec {
	/** @returns a refusal when the request cannot be parsed. */
	decode(raw: RawRequest): ForwardRequest | Refusal;
	/** Alternating header names and values of a refusal, without the headers that describe the body. */
	refusalHeaders(refusal: Refusal): string[];
}
