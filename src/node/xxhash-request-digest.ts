import xxhash from 'xxhash-wasm';
import {type ForwardRequest} from '../common/forwarding/forward-request.js';
import {type RequestDigest} from '../common/forwarding/request-digest.js';

const hexDigits = 16;

/** Loads the hash function and returns the 64-bit digest of requests. */
export async function createRequestDigest(): Promise<RequestDigest> {
	const {create64} = await xxhash();
	return {
		digest({hostname, message: {method, target, body}}: Pick<ForwardRequest, 'hostname' | 'message'>, customer: string | undefined): string {
			const hash = create64().update(JSON.stringify([hostname, method, target, customer ?? null]));
			if (body) {
				hash.update(body);
			}

			return hash.digest().toString(16).padStart(hexDigits, '0');
		},
	};
}
