import {type BackendObservation, type BackendRef} from './backend-observation.js';
import {type LoadTuple} from './load-tuple.js';
import {renewalSection} from './renewal-section.js';

/** Loads of the backend servers registered at the daemon, and the digest of its current subset. */
export interface LoadRequest {
	readonly loads: readonly LoadTuple[];
	readonly subsetDigest?: string;
}

/** Loads of the daemon's subset, and the subset itself when the digest of the daemon differs. */
export interface LoadReply {
	readonly loads: readonly LoadTuple[];
	readonly subset?: {readonly digest: string; readonly ids: readonly string[]};
}

/** Loads of backend servers, from their home hosts to the daemons that use them. */
export const loadSection = renewalSection<LoadRequest, LoadReply>('loads');
/** Observations of silent and failing backend servers; the reply names those that the daemon has to probe. */
export const observationSection = renewalSection<readonly BackendObservation[], readonly BackendRef[]>('observations');
