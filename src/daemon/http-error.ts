import {type ServerResponse} from 'node:http';
import {RefusalError} from '../common/entry/refusal-error.js';
import {executionStatus} from '../common/entry/execution-status.js';

/** Error type of the OpenAI interface for an HTTP status, from which existing clients choose the class of their error. */
function errorType(status: number): string {
	switch (status) {
		case 401: {
			return 'authentication_error';
		}

		case 403: {
			return 'permission_error';
		}

		case 429: {
			return 'rate_limit_error';
		}

		default: {
			return status < 500 ? 'invalid_request_error' : 'server_error';
		}
	}
}

/** JSON body of a refusal. */
export function refusalBody(err: RefusalError): {error: Record<string, unknown>} {
	return {
		error: {
			code: err.code,
			message: err.message,
			type: errorType(err.status),
			param: err.param ?? null,
			ran: err.ran,
			...(err.retryAfterSeconds !== undefined && {retryAfterSeconds: err.retryAfterSeconds}),
		},
	};
}

/** Returns a refusal as it is, and wraps any other error in an `internal` refusal. */
export function asRefusal(error: unknown): RefusalError {
	return error instanceof RefusalError
		? error
		: new RefusalError('internal', 'The entry host failed to handle the request.', {status: 500, ran: executionStatus.unknown, cause: error});
}

/** Sends a refusal as the whole response. */
export function sendRefusal(res: ServerResponse, err: RefusalError): void {
	const text = JSON.stringify(refusalBody(err));
	res.writeHead(err.status, {
		'content-type': 'application/json',
		'content-length': String(new TextEncoder().encode(text).length),
		// Clients must not retry a request automatically when it may have run.
		...(err.ran !== executionStatus.no && {'x-should-retry': 'false'}),
		...(err.retryAfterSeconds !== undefined && {'retry-after': String(Math.ceil(err.retryAfterSeconds))}),
	});
	res.end(text);
}

/** Sends a JSON value as the whole response. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(value));
}
