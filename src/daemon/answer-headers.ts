import {type ServerResponse} from 'node:http';
import {type AnswerHead} from '../common/entry/answer-sink.js';

/** Response headers of an answer: its ids and the version that produced it. */
export function answerHeaders(head: AnswerHead, entry: string): Record<string, string> {
	return {
		...idHeaders(head.requestId, entry),
		'catkinbeam-version': head.ref,
	};
}

/** Response headers that identify a request. `x-request-id` is the header that existing OpenAI clients report. */
export function idHeaders(requestId: string, entry: string): Record<string, string> {
	return {'catkinbeam-request-id': requestId, 'x-request-id': requestId, 'catkinbeam-entry': entry};
}

/** Sets the id headers before a refusal is sent. */
export function setIdHeaders(res: ServerResponse, requestId: string, entry: string): void {
	if (!res.headersSent) {
		for (const [name, value] of Object.entries(idHeaders(requestId, entry))) {
			res.setHeader(name, value);
		}
	}
}
