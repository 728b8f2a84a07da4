import {backendTarget} from './attempt-terms.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {serverCandidates} from './choose-server.js';
import {type ServerLoad} from './server-load.js';
import {type ServerRecord} from './server-pool.js';

/** Time in milliseconds to wait for load reports; several times the round trip to another availability zone. */
const reportTimeoutMs = 60;

/** A backend server chosen for an attempt, with the load that it reported, if it was asked. */
export interface ServerChoice {
	readonly record: ServerRecord;
	readonly load?: ServerLoad;
}

/** A backend server with its reported load. */
export type LoadedServer = Required<ServerChoice>;

/**
Chooses a backend server by current load reports: the one that keeps the shared part of the prompt, or a random other one when
the first has prompts to process and the other has fewer. Hosts do not see each other's requests in flight, and two hosts that
ask different servers seldom choose the same one.

@returns undefined when no server reports in time; then none would probably answer a request in time either.
*/
export async function chooseLoadedServer(services: ForwardServices, admitted: AdmittedRequest): Promise<LoadedServer | undefined> {
	const {clock, placement, zone, random} = services;
	const {affinityKey, records} = serverCandidates(services, admitted);
	const now = clock.now();
	const first = placement.choose({affinityKey, zone}, records, now);
	const preferred = first && await withLoad(services, admitted, first);
	if (preferred?.load.waiting === 0) {
		return preferred;
	}

	const others = records.filter(record => record !== first && record.health.isAvailable(now) && record.overloadedUntil <= now);
	const second = others[Math.floor(random() * others.length)];
	const other = second && await withLoad(services, admitted, second);
	return other && (!preferred || other.load.waiting < preferred.load.waiting) ? other : preferred;
}

async function withLoad(services: ForwardServices, {service}: AdmittedRequest, record: ServerRecord): Promise<LoadedServer | undefined> {
	const load = await services.port.readLoad(backendTarget(services, service, record.server), reportTimeoutMs);
	return load && {record, load};
}
