import {type Attempt} from './attempt.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';

/** Records the request rate that a backend server names in the head of an answer, and logs and counts each change. */
export function recordLimit({clock, logger, counters}: Pick<ForwardServices, 'clock' | 'logger' | 'counters'>, {record, sentAt}: Attempt, {requestsPerSecond}: AnswerHead): void {
	const previous = record.limit.perSecond;
	if (record.limit.update(requestsPerSecond, sentAt, clock.now())) {
		counters.increment('forward.limit-changes');
		logger.info({server: record.server.id, requestsPerSecond, previous}, 'request limit of a server changed');
	}
}
