import {type BackendServer} from '../control/backend-server.js';
import {type VersionRef} from '../documents/version-ref.js';

/** Plan of the engines that load the new version for the next step of a roll-out. */
export interface LoadPlan {
	/** Number of engines that must offer the new version before the step. */
	readonly wanted: number;
	/** Number of engines that offer it. */
	readonly present: number;
	/** Engines that can load it, best first: they offer the old version, and zones with the fewest engines of the new version come first. */
	readonly candidates: readonly BackendServer[];
}

/** Plans the capacity for a percentage of the traffic on the new version: the same percentage of the engines that offer the old version, at least one. */
export function planLoads(servers: Iterable<BackendServer>, {from, to}: {from: VersionRef; to: VersionRef}, percentage: number): LoadPlan {
	const engines = [...servers].filter(({kind}) => kind === 'engine');
	const old = engines.filter(server => offers(server, from));
	const present = engines.filter(server => offers(server, to));
	const wanted = Math.max(1, Math.ceil(old.length * percentage / 100));
	const zones = new Map<string, number>();
	for (const {zone} of present) {
		zones.set(zone, (zones.get(zone) ?? 0) + 1);
	}

	const candidates = old
		.filter(server => server.acceptsOrders === true && !offers(server, to))
		.sort((a, b) => (zones.get(a.zone) ?? 0) - (zones.get(b.zone) ?? 0) || (a.id < b.id ? -1 : 1));
	return {wanted, present: present.length, candidates};
}

/** Whether the next step may begin: enough engines offer the new version, or at least one does and no other engine can load it. */
export function hasCapacityForStep({wanted, present, candidates}: LoadPlan): boolean {
	return present >= wanted || (present > 0 && candidates.length === 0);
}

function offers(server: BackendServer, ref: VersionRef): boolean {
	return server.offers.some(offer => offer.ref === ref);
}
