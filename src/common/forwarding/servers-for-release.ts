import {hashString} from '../base/hash-string.js';
import {isRejected, serviceRolloutState, type ServiceRollout} from '../control/service-rollout.js';
import {type ServerRecord} from './server-pool.js';

/** Resolution of the share of sessions: one part in 10,000. */
const shareSteps = 10_000;

/** The session to which a request belongs. */
export interface RequestSession {
	/** Requests with the same key get the same release. */
	readonly key: string;
	/** Whether the session recently ran on the old release. */
	readonly isSticky: boolean;
}

/**
Returns the backend servers of the release to which a roll-out assigns a request. The hash of the session decides whether
it is in the share of the new release, so all hosts send a session to the same release without coordination.
*/
export function serversForRelease(rollout: ServiceRollout | undefined, session: RequestSession, candidates: readonly ServerRecord[], now: number): readonly ServerRecord[] {
	if (!rollout) {
		return candidates;
	}

	const target = candidates.filter(({server}) => server.release === rollout.target);
	const others = candidates.filter(({server: {release}}) => release !== rollout.target && !isRejected(rollout, release));
	if (rollout.state === serviceRolloutState.completed) {
		return target.length > 0 ? target : others;
	}

	if (rollout.state === serviceRolloutState.reverted) {
		return others;
	}

	if (!getsTarget(rollout, session) || target.length === 0) {
		return others;
	}

	return rollout.share < 1 ? trialServers(rollout, target, others.length, now) : target;
}

/**
Returns the servers that may take a request while none of those to which a roll-out assigns it can, because all of them are cold.
While it is in progress, these are servers of the previous release: others of the new one are not part of its trial.
*/
export function serversInstead(rollout: ServiceRollout | undefined, candidates: readonly ServerRecord[]): readonly ServerRecord[] {
	if (!rollout) {
		return candidates;
	}

	const target = candidates.filter(({server}) => server.release === rollout.target);
	return rollout.state === serviceRolloutState.completed && target.length > 0
		? target
		: candidates.filter(({server: {release}}) => release !== rollout.target && !isRejected(rollout, release));
}

/** Whether a request of the session may still run on the release of a server that was chosen for it. */
export function mayRunRelease(rollout: ServiceRollout, session: RequestSession, release: string | undefined): boolean {
	if (release !== rollout.target) {
		return !isRejected(rollout, release);
	}

	return rollout.state === serviceRolloutState.completed || (rollout.state === serviceRolloutState.inProgress && getsTarget(rollout, session));
}

/** Position of a session in [0, 1); it is in the share of the new release when its position is below the share. */
export function sessionPosition(key: string, revision: number): number {
	return (hashString(key, revision) % shareSteps) / shareSteps;
}

/** Whether a roll-out in progress assigns the session to the new release. */
function getsTarget({revision, share, holdsSessions}: ServiceRollout, {key, isSticky}: RequestSession): boolean {
	return sessionPosition(key, revision) < share && !(holdsSessions && isSticky);
}

/**
Returns the servers of the new release that take part in its trial: so many that each of them gets as many requests as a
server of the previous release. All hosts choose the same ones, as long as these are available.
*/
function trialServers({revision, share}: ServiceRollout, target: readonly ServerRecord[], previousServers: number, now: number): readonly ServerRecord[] {
	const count = Math.max(1, Math.round(share * previousServers));
	const ranked = target.map(record => ({record, rank: hashString(record.server.id, revision)})).sort((left, right) => left.rank - right.rank);
	const byRank = ranked.map(({record}) => record);
	const available = byRank.filter(({health}) => health.isAvailable(now));
	return (available.length > 0 ? available : byRank).slice(0, count);
}
