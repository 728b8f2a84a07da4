import {type AnswerHead, type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';
import {type ServerLoad} from '../common/forwarding/server-load.js';

/** Headers of an answer by lower-case name, as the HTTP client returns them. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Translates between the router and the protocol of backend servers. */
export interface BackendCodec {
	/** Path of the load report. */
	readonly loadPath: string;
	/** Headers of one attempt, as alternating names and values. */
	encodeHeaders(message: ForwardMessage, terms: AttemptTerms): string[];
	decodeHead(status: number, headers: AnswerHeaders, requestId: string): AnswerHead;
	/** Decodes a load report; undefined when it is not one. */
	decodeLoad(body: string): ServerLoad | undefined;
}
