import {type AnswerHead, type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';

/** Headers of an answer by lower-case name, as the HTTP client returns them. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Translates between the router and the protocol of backend servers. */
export interface BackendCodec {
	/** Headers of one attempt, as alternating names and values. */
	encodeHeaders(message: ForwardMessage, terms: AttemptTerms): string[];
	decodeHead(status: number, headers: AnswerHeaders, requestId: string): AnswerHead;
}
