import {type AnswerHead} from './forward-request.js';

/** What the head of an answer says about the attempt. */
export const headVerdict = {
	/** It belongs to another request. */
	foreign: 'answer-of-another-request',
	/** The server states that it did not run the request. */
	refused: 'refused',
	/** Its status tells a caller that the request has not run, but the server does not state that. */
	unproven: 'unproven',
	/** The server ran the request and failed. */
	failed: 'failed',
	/** It cannot be delivered: an unsigned success, or an error in the middle of a stream. */
	unusable: 'unusable',
	/** It can be delivered, with success or as an error that the caller made. */
	usable: 'usable',
} as const;
export type HeadVerdict = typeof headVerdict[keyof typeof headVerdict];

/** Statuses by which callers conclude that a request has not run and may be sent again. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an answer reports success. */
export function isSuccess({status}: AnswerHead): boolean {
	return status >= 200 && status < 300;
}

/** Judges the head of an answer. `isStarted` tells whether the caller has received the head of an earlier answer. */
export function judgeHead(head: AnswerHead, isStarted: boolean): HeadVerdict {
	if (!head.isForRequest) {
		return headVerdict.foreign;
	}

	if (head.isNotRun) {
		return headVerdict.refused;
	}

	if (notRunStatuses.has(head.status)) {
		return headVerdict.unproven;
	}

	if (head.status >= 500) {
		return headVerdict.failed;
	}

	return (isSuccess(head) && !head.isSigned) || (isStarted && !isSuccess(head)) ? headVerdict.unusable : headVerdict.usable;
}
