import {type AnswerHead, type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';

/** Headers by lower-case name as the HTTP client gives them. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Translates between the router and the protocol of backend servers. */
export interface BackendCodec {
	/** Names and values in turn of the headers of one attempt. */
	encodeHeaders(message: ForwardMessage, terms: AttemptTerms): string[];
	decodeHead(status: number, headers: AnswerHeaders, requestId: string): AnswerHead;
}
