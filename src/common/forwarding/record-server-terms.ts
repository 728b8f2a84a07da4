import {type Attempt} from './attempt.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';

const unavailable = 503;

/** Records what the head of an answer says about further requests to its server: a request limit, a limit of refusals, a pause, that it is leaving. Logs and counts each change. */
export function recordServerTerms({clock, logger, counters, pool}: Pick<ForwardServices, 'clock' | 'logger' | 'counters' | 'pool'>, service: string, {record, sentAt}: Attempt, head: AnswerHead): void {
	const {requestsPerSecond, maxRefusalsPerSecond, status, retryAfterSeconds, isLeaving, isForRequest} = head;
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

	const previousRefusals = record.refusalLimit.maxPerSecond;
	if (record.refusalLimit.update(maxRefusalsPerSecond, sentAt, now)) {
		counters.increment('forward.limit-changes');
		logger.info({server, maxRefusalsPerSecond, previous: previousRefusals}, 'refusal limit of a server changed');
	}

	if (maxRefusalsPerSecond !== undefined) {
		// All servers of a service become brittle together; this host may not have asked the others lately. Those in evacuated zones return later.
		for (const {refusalLimit} of pool.notDraining(service)) {
			refusalLimit.update(maxRefusalsPerSecond, sentAt, now);
		}
	}
}
