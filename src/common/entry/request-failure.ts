import {OverloadedError} from '../admission/overloaded-error.js';
import {LedgerFencedError, LedgerUnavailableError} from '../ledger/ledger-errors.js';
import {requestOutcome, type RequestOutcome} from '../ledger/ledger-record.js';
import {EngineError} from './engine-error.js';
import {executionStatus, type ExecutionStatus} from './execution-status.js';
import {RefusalError} from './refusal-error.js';

/** Circumstances of a failed request. */
export interface FailureContext {
	readonly ran: ExecutionStatus;
	readonly idempotent: boolean;
	readonly isCallerDisconnected: boolean;
	readonly isDeadlineExceeded: boolean;
}

/** Returns the outcome with which a failed request is billed. */
export function failureOutcome(ctx: FailureContext): RequestOutcome {
	if (!ctx.idempotent && ctx.ran === executionStatus.unknown) {
		return requestOutcome.unknown;
	}

	return ctx.isCallerDisconnected ? requestOutcome.cancelled : requestOutcome.failed;
}

/** Converts an error of a lower layer to the refusal that is sent to the caller. */
export function toRefusal(error: unknown, ctx: FailureContext): RefusalError {
	if (ctx.isDeadlineExceeded && !ctx.isCallerDisconnected && !(error instanceof OverloadedError)) {
		return new RefusalError('deadline-exceeded', 'The deadline of the request has passed.', {
			status: 504, ran: ctx.ran, retryAfterSeconds: 1, cause: error,
		});
	}

	if (ctx.isCallerDisconnected) {
		return new RefusalError('cancelled', 'The caller went away.', {status: 499, ran: ctx.ran, cause: error});
	}

	if (error instanceof RefusalError) {
		return error;
	}

	if (error instanceof OverloadedError) {
		return new RefusalError(error.code, error.message, {
			status: 429, ran: ctx.ran, retryAfterSeconds: error.retryAfterSeconds, cause: error,
		});
	}

	if (error instanceof EngineError) {
		return new RefusalError(`engine-${error.code}`, `The model engine gave no whole answer: ${error.message}.`, {
			// 503 if nothing ran, so that the caller may resend the request.
			status: ctx.ran === executionStatus.no ? 503 : 502, ran: ctx.ran, retryAfterSeconds: 1, cause: error,
		});
	}

	if (error instanceof LedgerUnavailableError || error instanceof LedgerFencedError) {
		return new RefusalError(error.code, 'The request could not be recorded; use another entry host.', {
			status: 503, ran: ctx.ran, retryAfterSeconds: 1, cause: error,
		});
	}

	return new RefusalError('internal', 'The entry host failed to handle the request.', {status: 500, ran: ctx.ran, cause: error});
}
