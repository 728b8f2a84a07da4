import {hashString} from '../base/hash-string.js';
import {serviceRolloutState, type ServiceRollout} from '../control/service-rollout.js';
import {type ServerRecord} from './server-pool.js';

/** Number of shares that a session's hash tells apart. */
const shareSteps = 10_000;

/** The session that a request belongs to. */
export interface SessionOfRequest {
	/** Requests with the same key get the same release. */
	readonly key: string;
	/** Whether the session lately ran on the old release. */
	readonly isHeld: boolean;
}

/**
Keeps to the backend servers of the release that a roll-out allows a request. The share is taken of the sessions by their
hash, so that all hosts send a session to the same release without asking each other.
*/
export function serversForRelease(rollout: ServiceRollout | undefined, session: SessionOfRequest, candidates: readonly ServerRecord[]): readonly ServerRecord[] {
	if (!rollout) {
		return candidates;
	}

	const target = candidates.filter(({server}) => server.release === rollout.target);
	const others = candidates.filter(({server}) => server.release !== rollout.target);
	if (rollout.state === serviceRolloutState.completed) {
		return target.length > 0 ? target : others;
	}

	if (rollout.state === serviceRolloutState.reverted) {
		return others;
	}

	const isInShare = hashString(session.key, rollout.revision) % shareSteps < rollout.share * shareSteps;
	const isKept = rollout.holdsSessions && session.isHeld;
	return isInShare && !isKept && target.length > 0 ? target : others;
}
