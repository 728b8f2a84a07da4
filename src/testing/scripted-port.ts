import {type AttemptEvents, type AttemptHandle, type BackendPort} from '../common/forwarding/backend-port.js';
import {type AnswerHead, type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';

/** An attempt that was sent through a `ScriptedPort`. */
export interface ScriptedAttempt {
	readonly message: ForwardMessage;
	readonly terms: AttemptTerms;
	readonly events: AttemptEvents;
	isAborted: boolean;
}

/** Backend port that leaves the answers to the test. */
export class ScriptedPort implements BackendPort {
	readonly attempts: ScriptedAttempt[] = [];

	/** `onAttempt` is called with each attempt and may answer it immediately. */
	constructor(public onAttempt: ((attempt: ScriptedAttempt, index: number) => void) | undefined = undefined) {}

	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle {
		const attempt: ScriptedAttempt = {
			message, terms, events, isAborted: false,
		};
		this.attempts.push(attempt);
		this.onAttempt?.(attempt, this.attempts.length - 1);
		return {
			abort() {
				attempt.isAborted = true;
			},
			resume: () => undefined,
		};
	}
}

/** Creates the head of an answer with default fields. */
export function answerHead(changes: Partial<AnswerHead> = {}): AnswerHead {
	return {
		status: 200, headers: [], isNotRun: false, isHostFault: false, isOtherServer: false, isSigned: true, isForRequest: true, confidence: undefined, requestsPerSecond: undefined, maxRefusalsPerSecond: undefined, length: undefined, framing: 'chunked', retryAfterSeconds: undefined, isLeaving: false, ...changes,
	};
}
