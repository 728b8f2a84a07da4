import {type Refusal} from './caller-sink.js';

/** Range in seconds of the time after which a refused caller may retry; jittered, so that callers do not retry together. */
const retryAfterRange = [0.2, 0.6] as const;
/** The same while all servers are in evacuated zones, which only an operator ends; spread, because all callers return then. */
const evacuatedRetryRange = [1, 3] as const;
/** Minimum time in milliseconds over which callers return after a pause of all servers. */
const minPauseSpreadMs = 400;
const msPerSecond = 1000;
const badGateway = 502;
const gatewayTimeout = 504;
const unavailable = 503;

/** Time in seconds after which a caller may ask again with a request under quarantine, or with a part under quarantine, which ends only when no such requests come. */
const quarantineRetrySeconds = 60;

/** Code of a request with a part under quarantine. */
export const quarantinedPartReason = 'quarantined-prompt-part';
/** Code of a request that is under quarantine itself. */
export const quarantinedRequestReason = 'quarantined-request';
/** Code of a request whose host reaches no server, and that no other host took over. */
export const serversUnreachableReason = 'servers-unreachable';
/** Code of a request that the applied configuration does not allow while a newer one may be in force. */
export const unconfirmedReason = 'configuration-unconfirmed';
/** Code of a request that the end of the process has cut off. */
export const stoppingReason = 'stopping';
/** Code of a request that reached its deadline. */
export const timeoutReason = 'timeout';

/** Code of a request whose service has servers in evacuated zones only. */
export const evacuatedReason = 'zone-evacuated';

/** Code of a request for which all servers are cold and get no more requests for the moment. */
export const coldReason = 'servers-cold';

/** Code of a request whose answer was given up because the host holds too many bytes. */
export const tooMuchHeldReason = 'too-much-held';

/** Refusal of a request that certainly has not run. `at` in [0, 1) picks the retry time. */
export function notRunRefusal(code: string, at: number): Refusal {
	const [least, most] = retryAfterRange;
	return {
		status: unavailable, code, ran: 'no', retryAfterSeconds: least + (at * (most - least)),
	};
}

/** Refusal of a request that has not run because its servers are in evacuated zones. `at` in [0, 1) picks the retry time. */
export function evacuatedRefusal(at: number): Refusal {
	const [least, most] = evacuatedRetryRange;
	return {
		status: unavailable, code: evacuatedReason, ran: 'no', retryAfterSeconds: least + (at * (most - least)),
	};
}

/** Refusal of a request that has not run because all servers have asked for a pause. `at` in [0, 1) spreads the callers' return over half of its rest. */
export function pausedRefusal(pauseMs: number, at: number): Refusal {
	const spreadMs = Math.max(minPauseSpreadMs, pauseMs / 2);
	return {
		status: unavailable, code: 'servers-paused', ran: 'no', retryAfterSeconds: (pauseMs + (at * spreadMs)) / msPerSecond,
	};
}

/** Refusal of a request that has not run because it or a part of its prompt is under quarantine. */
export function quarantinedRefusal(code: string): Refusal {
	return {
		status: unavailable, code, ran: 'no', retryAfterSeconds: quarantineRetrySeconds,
	};
}

/** Refusal of a request that may have run. */
export function mayHaveRunRefusal(code: string): Refusal {
	return {status: code === timeoutReason ? gatewayTimeout : badGateway, code, ran: 'unknown'};
}
