import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';

/** How a request went. */
export interface RequestReport {
	readonly startedAt: number;
	readonly attempts: number;
	/** What became of each attempt. */
	readonly trail: readonly string[];
	readonly outcome: string;
}

/** Counts a request that has its final answer, and logs what decided about it. */
export function reportRequest({clock, counters, logger, lease}: ForwardServices, {req, route, configVersion, customer}: AdmittedRequest, report: RequestReport): void {
	const {startedAt, attempts, trail, outcome} = report;
	const now = clock.now();
	counters.increment('forward.finished', 1, {outcome, route: route.name});
	counters.timing('forward.duration', now - startedAt, {route: route.name});
	logger.info({
		req: req.id, route: route.name, customer: customer?.name, config: configVersion, leaseLeftMs: Math.round(lease.expiresAt - now), attempts, trail, ms: Math.round(now - startedAt), outcome,
	}, 'request finished');
}
