import {type AttemptEvents, type AttemptHandle, type BackendPort} from '../common/forwarding/backend-port.js';
import {type AnswerHead, type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';

/** An attempt that reached the port. */
export interface ScriptedAttempt {
	readonly message: ForwardMessage;
	readonly terms: AttemptTerms;
	readonly events: AttemptEvents;
	isAborted: boolean;
}

/** Port to backend servers that a test answers by hand. */
export class ScriptedPort implements BackendPort {
	readonly attempts: ScriptedAttempt[] = [];

	/** Called with each attempt, to answer it at once. */
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

/** Head of an answer with defaults. */
export function answerHead(changes: Partial<AnswerHead> = {}): AnswerHead {
	return {
		status: 200, headers: [], isNotRun: false, isOtherServer: false, isSigned: true, isForRequest: true, confidence: undefined, length: undefined, isUnframed: false, retryAfterSeconds: undefined, ...changes,
	};
}
