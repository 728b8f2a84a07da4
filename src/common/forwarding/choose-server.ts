import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {serversForRelease} from './servers-for-release.js';
import {type ServerRecord} from './server-pool.js';

/** The backend servers that may run a request. */
export interface ServerCandidates {
	/** Key of the part of the prompt that the request shares with others. */
	readonly affinityKey: string | undefined;
	readonly records: readonly ServerRecord[];
}

/** Returns the backend servers that may run a request: not draining, and of the release that a roll-out assigns to its session. */
export function serverCandidates({pool, state, sessions}: ForwardServices, {req, service}: AdmittedRequest): ServerCandidates {
	const parts = req.generation?.parts ?? [];
	const rollout = state().rollouts.get(service);
	const session = {key: req.session ?? parts.at(-1)?.id ?? req.id, isSticky: req.session !== undefined && sessions.isSticky(req.session)};
	return {
		// The last part belongs to this request alone. The part before it stands for the longest prefix shared with other requests.
		affinityKey: parts.at(-2)?.id ?? parts[0]?.id,
		records: serversForRelease(rollout, session, pool.notDraining(service)),
	};
}

/** Chooses the backend server of an attempt among those that the request has not tried yet. */
export function chooseServer(services: ForwardServices, admitted: AdmittedRequest, tried: ReadonlySet<string>): ServerRecord | undefined {
	const {placement, clock, zone} = services;
	const {affinityKey, records} = serverCandidates(services, admitted);
	return placement.choose({affinityKey, zone}, records.filter(({key}) => !tried.has(key)), clock.now());
}

/** Records the session of a request that is sent to a server of the release that a roll-out replaces. */
export function recordSession({state, sessions}: ForwardServices, {req, service}: AdmittedRequest, {server}: ServerRecord): void {
	if (req.session !== undefined && server.release !== state().rollouts.get(service)?.target) {
		sessions.recordRequest(req.session);
	}
}
