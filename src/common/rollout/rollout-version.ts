import {hashString} from '../base/hash-string.js';
import {type VersionRef} from '../documents/version-ref.js';
import {rolloutPhase, type RolloutState} from './rollout-state.js';

const hashRange = 2 ** 32;

/**
Chooses the version for a new session or request. All hosts choose the same version for a key, and a key that gets the new
version keeps it as the percentage grows.

@param key - Session id, or the request id for a request without session.
*/
export function rolloutVersion(service: string, {from, to, phase, percentage}: RolloutState, key: string): VersionRef {
	if (phase === rolloutPhase.rolledBack) {
		return from;
	}

	return hashString(`${service}/${to}/${key}`) / hashRange * 100 < percentage ? to : from;
}
