import {type Refusal} from './caller-sink.js';

/** Range in seconds of the time after which a refused caller may come back; spread, so that callers do not return together. */
const retryAfterRange = [0.2, 0.6] as const;
/** Statuses of an answer that failed on the way, or that ran out of time. */
const badGateway = 502;
const gatewayTimeout = 504;
const unavailable = 503;

/** Reason of the answer at the time limit. */
export const timeoutReason = 'timeout';

/** Final answer for a request that certainly has not run. `at` is a number in [0, 1). */
export function notRunAnswer(code: string, at: number): Refusal {
	const [least, most] = retryAfterRange;
	return {
		status: unavailable, code, ran: 'no', retryAfterSeconds: least + (at * (most - least)),
	};
}

/** Final answer for a request that may have run. */
export function mayHaveRunAnswer(code: string): Refusal {
	return {status: code === timeoutReason ? gatewayTimeout : badGateway, code, ran: 'unknown'};
}
