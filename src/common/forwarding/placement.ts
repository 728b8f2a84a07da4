import {hashString} from '../base/hash-string.js';
import {type RandomSource} from '../base/random-source.js';
import {type ServerRecord} from './server-pool.js';

/** What placing a request depends on. */
export interface PlacementRequest {
	/** Requests with the same key read the same part of a prompt; undefined where nothing is shared. */
	readonly affinityKey: string | undefined;
	/** Availability zone of this host. */
	readonly zone: string;
}

/** Chooses a backend server for a request. */
export interface Placement {
	/** @returns undefined when there is no candidate. */
	choose(request: PlacementRequest, candidates: readonly ServerRecord[], now: number): ServerRecord | undefined;
}

/** Requests by which a server may be ahead of the mean of this host before the next one in order is taken. */
const aheadRequests = 2;
/** Hashes are below this. */
const hashRange = 2 ** 32;
/** Factor on the mean number of requests in progress up to which a server keeps the requests that share a part. */
const aheadFactor = 1.5;

/**
Places requests that share a part of their prompt on the same server, the same one at every host of a zone, by rendezvous
hashing; a server that is ahead of the others is passed over, so that a popular part does not fill it. Servers of the own
zone come first: long prompts are the most of the bytes between zones. Answers loads in which reading and sending prompts
takes much of the time.
*/
export class AffinityPlacement implements Placement {
	constructor(private readonly _random: RandomSource) {}

	choose({affinityKey, zone}: PlacementRequest, candidates: readonly ServerRecord[], now: number): ServerRecord | undefined {
		const usable = preferred(candidates, now);
		if (affinityKey === undefined || usable.length < 2) {
			return leastLoaded(usable, zone, this._random);
		}

		const mean = usable.reduce((sum, {inFlight}) => sum + inFlight, 0) / usable.length;
		const limit = Math.max(mean * aheadFactor, mean + aheadRequests);
		const seed = hashString(affinityKey);
		let best: ServerRecord | undefined;
		let bestRank = -1;
		for (const record of usable) {
			const {server, inFlight} = record;
			const rank = hashString(server.id, seed) + (server.zone === zone ? hashRange : 0);
			// The mean is below the limit, so that there always is a server below it.
			if (inFlight <= limit && rank > bestRank) {
				best = record;
				bestRank = rank;
			}
		}

		return best;
	}
}

/** Healthy servers that did not just say to be full, else healthy ones, else all. */
function preferred(candidates: readonly ServerRecord[], now: number): readonly ServerRecord[] {
	const healthy = candidates.filter(({health}) => health.isAvailable(now));
	const open = healthy.filter(({fullUntil}) => fullUntil <= now);
	return open.length > 0 ? open : (healthy.length > 0 ? healthy : candidates);
}

function leastLoaded(candidates: readonly ServerRecord[], zone: string, random: RandomSource): ServerRecord | undefined {
	let best: ServerRecord | undefined;
	let bestCost = Infinity;
	for (const record of candidates) {
		const {server, inFlight} = record;
		// The own zone breaks ties; the random part keeps hosts from choosing alike.
		const cost = (inFlight / Math.max(1, server.capacity)) + (server.zone === zone ? 0 : 0.01) + (random.next() * 0.01);
		if (cost < bestCost) {
			bestCost = cost;
			best = record;
		}
	}

	return best;
}
