import {type ExecutionStatus} from './execution-status.js';

/** An attempt that did not give a complete answer. */
export interface FailedAttempt {
	/** Whether the request may run more than once. */
	readonly idempotent: boolean;
	/** Whether any byte of the request was written to the connection. */
	readonly written: boolean;
	/** Reply of the backend server: none, a refusal without running the request, or an error after running it. */
	readonly reply: 'none' | 'refused' | 'failed';
	/** Whether the first token was received from the backend server. */
	readonly firstToken: boolean;
	/** Whether any part of the answer was sent to the caller. */
	readonly delivered: boolean;
	/** Whether a backend server can resume the interrupted answer. */
	readonly resumable: boolean;
}

/** Conditions that another attempt requires. */
export interface RetryConditions {
	/** Whether the deadline leaves time for another attempt. */
	readonly hasTime: boolean;
	/** Whether the retry budget allows another attempt. */
	readonly hasBudget: boolean;
	/** Whether another backend server of the same version can take the request, or for a resume also the same one. */
	readonly hasServer: boolean;
}

/** Action after a failed attempt. `unknown` ends the request without knowing whether it ran. */
export type AttemptAction = 'retry' | 'resume' | 'unknown' | 'error';

/**
Returns whether the attempt ran: `no` only if no byte was written or the backend server itself refused.
A refusal after a first token is contradictory, so the attempt counts as run.
*/
export function executionStatusOf(attempt: Pick<FailedAttempt, 'written' | 'reply' | 'firstToken'>): ExecutionStatus {
	if (attempt.firstToken || attempt.reply === 'failed') {
		return 'yes';
	}

	return !attempt.written || attempt.reply === 'refused' ? 'no' : 'unknown';
}

/** Decides what to do after a failed attempt, and returns whether it ran. */
export function decideAfterFailure(attempt: FailedAttempt, conditions: RetryConditions): {readonly action: AttemptAction; readonly ran: ExecutionStatus} {
	const ran = executionStatusOf(attempt);
	const canContinue = conditions.hasTime && conditions.hasBudget && conditions.hasServer;
	if (!attempt.idempotent && ran !== 'no') {
		// Only a complete error reply proves that the request ran and ended; otherwise its state is unknown.
		return {action: attempt.reply === 'failed' ? 'error' : 'unknown', ran};
	}

	if (attempt.firstToken || attempt.delivered) {
		if (attempt.resumable && attempt.reply === 'none' && canContinue) {
			return {action: 'resume', ran};
		}

		// The caller has received nothing of a buffered answer, so the attempt may be restarted.
		return {action: !attempt.delivered && canContinue ? 'retry' : 'error', ran};
	}

	return {action: canContinue ? 'retry' : 'error', ran};
}
