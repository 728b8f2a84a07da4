import {type AnswerFraming} from './answer-framing.js';
import {type CallerAnswer} from './caller-answer.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';

/** Summary of a request. */
export interface RequestReport {
	readonly startedAt: number;
	readonly attempts: number;
	/** Description of each attempt. */
	readonly trail: readonly string[];
	/** Undefined while the request is in flight. */
	readonly outcome: string | undefined;
	/** What the caller got. */
	readonly answer: Pick<CallerAnswer, 'framing' | 'ending'>;
	/** Framing of the answer of the backend server asked last; undefined without one. */
	readonly serverFraming: AnswerFraming | undefined;
	/** Whether a connection broke under an attempt, so that the parts of the prompt are logged. */
	readonly isBroken: boolean;
}

/** Updates the metrics for a finished request and logs its summary. */
export function reportRequest(services: ForwardServices, admitted: AdmittedRequest, report: RequestReport & {readonly outcome: string}): void {
	const {counters, clock, logger} = services;
	const {route} = admitted;
	counters.increment('forward.finished', 1, {outcome: report.outcome, route: route.name});
	counters.timing('forward.duration', clock.now() - report.startedAt, {route: route.name});
	logger.info(summaryOf(services, admitted, report), 'request finished');
}

/** Logs the summary of a request that is in flight when the process ends. */
export function reportOpenRequest(services: ForwardServices, admitted: AdmittedRequest, report: RequestReport): void {
	services.logger.warn(summaryOf(services, admitted, report), 'request open at the end of the process');
}

function summaryOf({clock, lease}: ForwardServices, {
	req, route, configVersion, customer, digest,
}: AdmittedRequest, {
	startedAt, attempts, trail, outcome, answer, serverFraming, isBroken,
}: RequestReport): Record<string, unknown> {
	const now = clock.now();
	return {
		req: req.id, route: route.name, customer: customer?.name, digest, config: configVersion, leaseLeftMs: Math.round(lease.expiresAt - now), attempts, trail, ms: Math.round(now - startedAt), outcome, framing: answer.framing, ending: answer.ending, serverFraming, ...(isBroken && {parts: req.generation?.parts.map(({id}) => id)}), ...(req.attemptsLeft !== undefined && {attemptsLeft: req.attemptsLeft}),
	};
}
