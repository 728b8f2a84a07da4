import {hashString} from '../base/hash-string.js';
import {type RandomSource} from '../base/random-source.js';
import {type ServerRecord} from './server-pool.js';

/** Inputs to the placement of a request. */
export interface PlacementRequest {
	/** Requests with the same key share a part of their prompt; undefined when nothing is shared. */
	readonly affinityKey: string | undefined;
	/** Availability zone of this host. */
	readonly zone: string;
}

/** Chooses a backend server for a request. */
export interface Placement {
	/** @returns undefined when there is no candidate. */
	choose(request: PlacementRequest, candidates: readonly ServerRecord[], now: number): ServerRecord | undefined;
}

/** Number of requests by which a server may always exceed the mean number of this host's requests in flight per server. */
const excessRequests = 2;
/** Exclusive upper bound of hashes. */
const hashRange = 2 ** 32;
/** Factor by which a server may exceed the mean number of this host's requests in flight per server. */
const excessFactor = 1.5;

/**
Places requests that share a part of their prompt on the same server by rendezvous hashing with bounded loads. All hosts of
a zone choose the same server, unless it exceeds its load bound; the bound keeps a popular part from overloading one server.
Servers of the host's own zone are preferred, because long prompts make up most of the traffic between zones. Affinity
helps when processing and sending prompts takes much of the time.
*/
export class AffinityPlacement implements Placement {
	constructor(private readonly _random: RandomSource) {}

	choose({affinityKey, zone}: PlacementRequest, candidates: readonly ServerRecord[], now: number): ServerRecord | undefined {
		const usable = preferred(candidates, now);
		if (affinityKey === undefined || usable.length < 2) {
			return leastLoaded(usable, zone, this._random);
		}

		const mean = usable.reduce((sum, {inFlight}) => sum + inFlight, 0) / usable.length;
		const limit = Math.max(mean * excessFactor, mean + excessRequests);
		const seed = hashString(affinityKey);
		let best: ServerRecord | undefined;
		let bestRank = -1;
		for (const record of usable) {
			const {server, inFlight} = record;
			const rank = hashString(server.id, seed) + (server.zone === zone ? hashRange : 0);
			// The limit is above the mean, so at least one server is below the limit.
			if (inFlight <= limit && rank > bestRank) {
				best = record;
				bestRank = rank;
			}
		}

		return best;
	}
}

/** Returns the healthy servers that did not report an overload recently, else all healthy ones, else all. */
function preferred(candidates: readonly ServerRecord[], now: number): readonly ServerRecord[] {
	const healthy = candidates.filter(({health}) => health.isAvailable(now));
	const ready = healthy.filter(({overloadedUntil}) => overloadedUntil <= now);
	return ready.length > 0 ? ready : (healthy.length > 0 ? healthy : candidates);
}

function leastLoaded(candidates: readonly ServerRecord[], zone: string, random: RandomSource): ServerRecord | undefined {
	let best: ServerRecord | undefined;
	let bestCost = Infinity;
	for (const record of candidates) {
		const {server, inFlight} = record;
		// The host's own zone breaks ties; the jitter keeps hosts from choosing the same server at the same time.
		const cost = (inFlight / Math.max(1, server.capacity)) + (server.zone === zone ? 0 : 0.01) + (random.next() * 0.01);
		if (cost < bestCost) {
			bestCost = cost;
			best = record;
		}
	}

	return best;
}
