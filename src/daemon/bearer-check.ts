import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage} from 'node:http';

/** Whether a request carries the secret as its bearer token; always true without a secret. */
export function hasSecret(req: IncomingMessage, secret: string | undefined): boolean {
	if (secret === undefined) {
		return true;
	}

	const given = req.headers.authorization ?? '';
	// `timingSafeEqual` needs inputs of equal length, so it compares hashes.
	return timingSafeEqual(digest(given), digest(`Bearer ${secret}`));
}

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
