import {type BeginResult} from '../ledger/request-ledger.js';
import {executionStatus} from './execution-status.js';
import {RefusalError} from './refusal-error.js';

/** Creates the refusal of a request whose idempotency key was used before. */
export function idempotencyRefusal(result: Exclude<BeginResult, {status: 'run' | 'replay'}>): RefusalError {
	switch (result.status) {
		case 'key-reused': {
			return new RefusalError('key-reused', 'The idempotency key was used with another body.', {status: 422});
		}

		case 'running': {
			return new RefusalError('request-running', 'A request with this idempotency key is still running.', {status: 409, ran: executionStatus.unknown, retryAfterSeconds: 1});
		}

		case 'settled': {
			const {outcome} = result.bill;
			return outcome === 'answered'
				? new RefusalError('request-answered', 'The request was answered; its answer is not recorded.', {status: 409, ran: result.ran})
				: new RefusalError(`request-${outcome}`, `The request with this idempotency key ended as ${outcome}.`, {status: 409, ran: result.ran});
		}
	}
}
