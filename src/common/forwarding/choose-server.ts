import {maxConnectionsOf} from './attempt-terms.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardRequest} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {preferred} from './placement.js';
import {sessionOf} from './request-session.js';
import {type LimitShare} from './request-limit.js';
import {serversForRelease, serversInstead} from './servers-for-release.js';
import {type ServerRecord} from './server-pool.js';

/** Number of prompt tokens that take as much time of an engine as one token of an answer. */
const tokensPerOutputToken = 10;

/** Returns the place of this host among those that share the request limits of backend servers. */
export function limitShare({clock, state}: Pick<ForwardServices, 'clock' | 'state'>): LimitShare {
	const {hostCount, hostIndex} = state();
	return {wallTime: clock.wallTime(), hostCount, hostIndex};
}

/** The server chosen for an attempt. */
export interface ServerChoice {
	/** Undefined when no server may take the request now. */
	readonly record: ServerRecord | undefined;
	/** Whether the only reason is that all connections of this host to the servers that may take it are in use. */
	readonly isFull: boolean;
	/** Time in milliseconds after which a cold server may take the request, when the only reason is that cold servers have no room; Infinity when that is not foreseeable. */
	readonly roomInMs?: number | undefined;
}

/** Whether a server may take an attempt at once: one that `chooseServer` would choose. */
export function hasFreeServer(services: ForwardServices, admitted: AdmittedRequest, tried: ReadonlySet<string>): boolean {
	return freeServers(services, admitted, tried).free.length > 0;
}

/**
Chooses the backend server of an attempt: neither leaving nor in a pause, not tried, within its request limit, of the release that
a roll-out assigns to the session, and with a free connection.
*/
export function chooseServer(services: ForwardServices, admitted: AdmittedRequest, tried: ReadonlySet<string>): ServerChoice {
	const {placement, state, sessions, clock, zone, counters} = services;
	const {req, service} = admitted;
	const {candidates, free, coldWaits} = freeServers(services, admitted, tried);
	if (coldWaits.length > 0) {
		counters.increment('forward.cold-skipped', 1, {service});
	}

	if (free.length === 0) {
		const isFull = candidates.length > 0;
		return {record: undefined, isFull, roomInMs: isFull || coldWaits.length === 0 ? undefined : Math.min(...coldWaits)};
	}

	const parts = req.generation?.parts ?? [];
	const rollout = state().rollouts.get(service);
	// The last part belongs to this request, its session or its subject alone. The part before it stands for the longest prefix shared with other requests.
	const affinityKey = parts.at(-2)?.id ?? parts[0]?.id;
	const record = placement.choose({
		service, affinityKey, subjectKey: parts.at(-1)?.id, work: workOf(req), zone,
	}, free, clock.now());
	if (record && req.session !== undefined && record.server.release !== rollout?.target) {
		sessions.recordRequest(req.session);
	}

	return {record, isFull: false};
}

/** The servers that may take an attempt. */
interface FreeServers {
	readonly candidates: readonly ServerRecord[];
	/** Those of them with a free connection. */
	readonly free: readonly ServerRecord[];
	/** Times in milliseconds after which the cold servers have room that would be candidates if they had it now. */
	readonly coldWaits: readonly number[];
}

function freeServers(services: ForwardServices, {req, service}: AdmittedRequest, tried: ReadonlySet<string>): FreeServers {
	const {
		pool, state, sessions, clock, cold,
	} = services;
	const rollout = state().rollouts.get(service);
	const share = limitShare({clock, state});
	const now = clock.now();
	const untried = pool.openServers(service).filter(record => !tried.has(record.key) && record.accepts(now) && record.allows(share, now));
	// The release is chosen whatever servers are cold, so that all hosts choose the same one and the same servers of a trial.
	const sound = preferred(serversForRelease(rollout, sessionOf({sessions}, {req}), untried, now), now);
	const hasRoom = (record: ServerRecord) => cold.waitMs(record, service) === 0;
	const ready = sound.filter(record => hasRoom(record));
	const candidates = ready.length > 0 || sound.length === 0 ? ready : preferred(serversInstead(rollout, untried.filter(record => hasRoom(record))), now);
	const maxConnections = maxConnectionsOf(services, service);
	return {
		candidates,
		free: candidates.filter(({inFlight}) => inFlight < maxConnections),
		coldWaits: ready.length === sound.length ? [] : sound.map(record => cold.waitMs(record, service)).filter(waitMs => waitMs > 0),
	};
}

/** Expected work of a request, in the unit of a prompt token. */
function workOf({generation}: ForwardRequest): number {
	return generation ? generation.inputTokens + (tokensPerOutputToken * (generation.expectedOutputTokens ?? generation.maxOutputTokens)) : 1;
}

/** Returns the time in milliseconds until a server of a service takes requests again; 0 unless all of them have asked for a pause. */
export function pauseOfAllMs({pool, clock}: Pick<ForwardServices, 'pool' | 'clock'>, service: string): number {
	const now = clock.now();
	const servers = pool.openServers(service);
	return servers.length === 0 ? 0 : Math.min(...servers.map(record => record.pauseLeftMs(now)));
}
