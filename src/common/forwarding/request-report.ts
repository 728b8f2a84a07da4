import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';

/** Summary of a finished request. */
export interface RequestReport {
	readonly startedAt: number;
	readonly attempts: number;
	/** Description of each attempt. */
	readonly trail: readonly string[];
	readonly outcome: string;
}

/** Updates the metrics for a finished request and logs its summary. */
export function reportRequest({clock, counters, logger, lease}: ForwardServices, {req, route, configVersion, customer}: AdmittedRequest, report: RequestReport): void {
	const {startedAt, attempts, trail, outcome} = report;
	const now = clock.now();
	counters.increment('forward.finished', 1, {outcome, route: route.name});
	counters.timing('forward.duration', now - startedAt, {route: route.name});
	logger.info({
		req: req.id, route: route.name, customer: customer?.name, config: configVersion, leaseLeftMs: Math.round(lease.expiresAt - now), attempts, trail, ms: Math.round(now - startedAt), outcome,
	}, 'request finished');
}
