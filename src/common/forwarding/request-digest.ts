import {type ForwardRequest} from './forward-request.js';

/** Identifies a request and its repeats, which have other IDs: by host, method, path, customer and body. */
export interface RequestDigest {
	/** @returns a hash that is the same at all hosts and after a restart. */
	digest(req: Pick<ForwardRequest, 'hostname' | 'message'>, customer: string | undefined): string;
}
