import {type ForwardRequest} from '../common/forwarding/forward-request.js';
import {type Refusal} from '../common/forwarding/caller-sink.js';

/** A request as the HTTP server gives it; header names and values in turn. */
export interface RawRequest {
	readonly method: string;
	readonly target: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array | undefined;
}

/** Translates between callers and the router. */
export interface CallerCodec {
	/** @returns a refusal when the request cannot be understood. */
	decode(raw: RawRequest): ForwardRequest | Refusal;
	/** Header names and values in turn of a refusal, without those of the body. */
	refusalHeaders(refusal: Refusal): string[];
}
