import {createHash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {urgency as urgencies, type Urgency} from '../common/documents/urgency.js';
import {RefusalError} from '../common/entry/refusal-error.js';

/** Parsed request headers of a caller. */
export interface CallerHeaders {
	readonly session: string | undefined;
	readonly key: string | undefined;
	readonly urgency: Urgency | undefined;
	readonly nonIdempotent: boolean | undefined;
	readonly requestClass: string | undefined;
	/** Time to the deadline in milliseconds. */
	readonly deadlineMs: number | undefined;
}

/** Maximum length of a header value in characters, for example a session id, an idempotency key or a class. */
const maxNameCharacters = 200;

/** SHA-256 in hexadecimal. */
export function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/**
SHA-256 of the bearer key of a request.

@throws RefusalError when the request has no bearer key.
*/
export function bearerHash(req: IncomingMessage): string {
	const match = /^Bearer (?<key>\S+)$/iv.exec(req.headers.authorization ?? '');
	if (!match) {
		throw new RefusalError('missing-key', 'The request has no bearer key.', {status: 401});
	}

	return sha256(match.groups!.key!);
}

/**
Parses the request headers of a caller.

@throws RefusalError naming the first invalid header.
*/
export function readCallerHeaders(req: IncomingMessage): CallerHeaders {
	const urgency = header(req, 'catkinbeam-urgency');
	if (urgency !== undefined && !Object.values<string>(urgencies).includes(urgency)) {
		throw invalid('catkinbeam-urgency', 'must be urgent, normal or batch');
	}

	const nonIdempotent = header(req, 'catkinbeam-non-idempotent');
	if (nonIdempotent !== undefined && nonIdempotent !== 'true' && nonIdempotent !== 'false') {
		throw invalid('catkinbeam-non-idempotent', 'must be true or false');
	}

	const deadline = header(req, 'catkinbeam-deadline-ms');
	if (deadline !== undefined && !/^[1-9]\d{0,8}$/v.test(deadline)) {
		throw invalid('catkinbeam-deadline-ms', 'must be a whole number of milliseconds above 0');
	}

	return {
		session: header(req, 'catkinbeam-session'),
		key: header(req, 'idempotency-key'),
		urgency: urgency as Urgency | undefined,
		nonIdempotent: nonIdempotent === undefined ? undefined : nonIdempotent === 'true',
		requestClass: header(req, 'catkinbeam-class'),
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
	};
}

function header(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	if (value === undefined) {
		return undefined;
	}

	if (typeof value !== 'string' || value.length === 0 || value.length > maxNameCharacters) {
		throw invalid(name, `must have 1 to ${maxNameCharacters} characters`);
	}

	return value;
}

function invalid(name: string, message: string): RefusalError {
	return new RefusalError('invalid-header', `The header ${name} ${message}.`, {status: 400, param: name});
}
