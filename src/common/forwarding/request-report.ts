import {type AnswerFraming} from './answer-framing.js';
import {type CallerAnswer} from './caller-answer.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';

/** Summary of a finished request. */
export interface RequestReport {
	readonly startedAt: number;
	readonly attempts: number;
	/** Description of each attempt. */
	readonly trail: readonly string[];
	readonly outcome: string;
	/** What the caller got. */
	readonly answer: Pick<CallerAnswer, 'framing' | 'ending'>;
	/** Framing of the answer of the backend server asked last; undefined without one. */
	readonly serverFraming: AnswerFraming | undefined;
	/** Whether a connection broke under an attempt, so that the parts of the prompt are logged. */
	readonly isBroken: boolean;
}

/** Updates the metrics for a finished request and logs its summary. */
export function reportRequest({clock, counters, logger, lease}: ForwardServices, {
	req, route, configVersion, customer, digest,
}: AdmittedRequest, {
	startedAt, attempts, trail, outcome, answer: {framing, ending}, serverFraming, isBroken,
}: RequestReport): void {
	const now = clock.now();
	counters.increment('forward.finished', 1, {outcome, route: route.name});
	counters.timing('forward.duration', now - startedAt, {route: route.name});
	logger.info({
		req: req.id, route: route.name, customer: customer?.name, digest, config: configVersion, leaseLeftMs: Math.round(lease.expiresAt - now), attempts, trail, ms: Math.round(now - startedAt), outcome, framing, ending, serverFraming, ...(isBroken && {parts: req.generation?.parts.map(({id}) => id)}), ...(req.attemptsLeft !== undefined && {attemptsLeft: req.attemptsLeft}),
	}, 'request finished');
}
