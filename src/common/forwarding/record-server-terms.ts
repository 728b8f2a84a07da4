import {type Attempt} from './attempt.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';

const unavailable = 503;

/** Records what the head of an answer says about further requests to its server: a request limit, a pause, that it is leaving. Logs and counts each change. */
export function recordServerTerms({clock, logger, counters}: Pick<ForwardServices, 'clock' | 'logger' | 'counters'>, {record, sentAt}: Attempt, head: AnswerHead): void {
	const {requestsPerSecond, status, retryAfterSeconds, isLeaving, isForRequest} = head;
	const server = record.server.id;
	const now = clock.now();
	if (isLeaving && record.recordLeaving()) {
		counters.increment('forward.servers-leaving');
		logger.info({server, incarnation: record.server.incarnation, status}, 'server announced that it is leaving');
	}

	if (status === unavailable && retryAfterSeconds !== undefined && record.recordPause(retryAfterSeconds, now)) {
		counters.increment('forward.pauses');
		logger.info({server, pauseMs: Math.round(record.pauseLeftMs(now))}, 'server asked for a pause');
	}

	// A late answer to another request says nothing about the limit at the time of this one.
	if (!isForRequest) {
		return;
	}

	const previous = record.limit.perSecond;
	if (record.limit.update(requestsPerSecond, sentAt, now)) {
		counters.increment('forward.limit-changes');
		logger.info({server, requestsPerSecond, previous}, 'request limit of a server changed');
	}
}
