import {hashString} from '../base/hash-string.js';
import {type RandomSource} from '../base/random-source.js';
import {PartShares} from './part-shares.js';
import {type ServerRecord} from './server-pool.js';
import {
	chooseByWeight, noWeights, type ServerWeights, type WeightOf, weightsOf,
} from './server-weights.js';
import {weightedZone} from './weighted-zone.js';

/** Inputs to the placement of a request. */
export interface PlacementRequest {
	readonly service: string;
	/** Requests with the same key share a part of their prompt; undefined when nothing is shared. */
	readonly affinityKey: string | undefined;
	/** Requests with the same key belong to the same subject or session; undefined when that is not known. */
	readonly subjectKey: string | undefined;
	/** Expected work of the request, in the unit of a prompt token. */
	readonly work: number;
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
Largest part of the load of a server that one shared part may make up before it is spread over another server: for a host that
has a request in flight at each server, and thus notices an overloaded one, and for a host that has hardly any.
*/
const maxPartLoad = {manyInFlight: 0.8, fewInFlight: 0.35} as const;

/** A server with its place in the order for a shared part; the highest rank comes first. */
interface RankedServer {
	readonly record: ServerRecord;
	readonly rank: number;
}

/**
Places requests that share a part of their prompt on few servers by rendezvous hashing with bounded loads. All hosts of a zone
choose the same servers: as many as the work of the part takes, which each host knows from its own requests, and among them
one by the subject of the request. So a popular part does not overload a server even when each host has too few requests in
flight to notice. Servers of the host's own zone are preferred, because long prompts make up most of the traffic between zones.

A server gets requests in proportion to its weight. Requests in flight are compared without it: a server that is half as fast
and gets half of the requests has as many in flight as the others.
*/
export class AffinityPlacement implements Placement {
	private readonly _shares = new Map<string, PartShares>();

	constructor(private readonly _random: RandomSource, private readonly _weights: ServerWeights = noWeights) {}

	choose(request: PlacementRequest, candidates: readonly ServerRecord[], now: number): ServerRecord | undefined {
		const {service, affinityKey, subjectKey, work} = request;
		const shares = this._sharesOf(service);
		shares.record(affinityKey, work, now);
		const usable = preferred(candidates, now);
		const weightOf = weightsOf(usable, this._weights, now);
		const zone = weightOf ? weightedZone(usable, request.zone, weightOf, this._zonePoint(request)) : request.zone;
		if (affinityKey === undefined || usable.length < 2) {
			return weightOf ? chooseByWeight(usable, weightOf, record => loadCost(record, zone), this._random) : leastLoaded(usable, zone, this._random);
		}

		const meanInFlight = usable.reduce((sum, {inFlight}) => sum + inFlight, 0) / usable.length;
		const inZone = usable.filter(({server}) => server.zone === zone);
		const near = inZone.length > 0 ? inZone : usable;
		const nearWeight = weightOf ? near.reduce((sum, record) => sum + weightOf(record), 0) : near.length;
		const ranked = rank(usable.filter(({inFlight}) => inFlight <= loadLimit(meanInFlight)), hashString(affinityKey), zone, weightOf);
		const sharing = firstServers(ranked.slice(0, near.length), shares.share(affinityKey, now) * nearWeight / partLoadAt(meanInFlight), weightOf);
		const chosen = chooseBySubject(subjectKey, sharing, now, weightOf);
		chosen?.recentWork.add(work, now);
		return chosen;
	}

	/** Number in [0, 1) by which a request gets a zone: the same for all requests with the same part and subject. */
	private _zonePoint({affinityKey, subjectKey}: PlacementRequest): number {
		return subjectKey === undefined ? this._random.next() : hashString(subjectKey, hashString(affinityKey ?? '')) / hashRange;
	}

	private _sharesOf(service: string): PartShares {
		let shares = this._shares.get(service);
		if (!shares) {
			shares = new PartShares();
			this._shares.set(service, shares);
		}

		return shares;
	}
}

/** Largest part of a server's load that a shared part may make up, by the mean number of this host's requests in flight per server. */
function partLoadAt(meanInFlight: number): number {
	const {manyInFlight, fewInFlight} = maxPartLoad;
	return fewInFlight + (Math.min(1, meanInFlight) * (manyInFlight - fewInFlight));
}

/** Number of this host's requests in flight above which a server gets no more; above the mean, so at least one server is below it. */
function loadLimit(meanInFlight: number): number {
	return Math.max(meanInFlight * excessFactor, meanInFlight + excessRequests);
}

/** Orders servers by weighted rendezvous hashing; servers of the given zone come first. */
function rank(servers: readonly ServerRecord[], seed: number, zone: string | undefined, weightOf: WeightOf | undefined): RankedServer[] {
	return servers
		.map(record => ({record, rank: weightedHash(record, seed, weightOf) + (record.server.zone === zone ? hashRange : 0)}))
		.sort((left, right) => right.rank - left.rank);
}

/** Returns the hash of a server, raised such that the chance of the highest rank is in proportion to the weight. */
function weightedHash(record: ServerRecord, seed: number, weightOf: WeightOf | undefined): number {
	const hash = hashString(record.server.id, seed);
	const weight = weightOf?.(record) ?? 1;
	return weight === 1 ? hash : ((hash / hashRange) ** (1 / weight)) * hashRange;
}

/** Returns the first servers whose weights reach the given sum, at least one. */
function firstServers(ranked: readonly RankedServer[], neededWeight: number, weightOf: WeightOf | undefined): readonly RankedServer[] {
	let sum = 0;
	const end = ranked.findIndex(({record}) => {
		sum += weightOf?.(record) ?? 1;
		return sum >= neededWeight;
	});
	return end === -1 ? ranked : ranked.slice(0, end + 1);
}

/**
Chooses between the two servers with the highest ranks for the subject, where its own prompt parts may be kept, the one to which
this host has recently sent less work for its weight.
*/
function chooseBySubject(subjectKey: string | undefined, servers: readonly RankedServer[], now: number, weightOf: WeightOf | undefined): ServerRecord | undefined {
	const [first, second] = rank(servers.map(({record}) => record), hashString(subjectKey ?? ''), undefined, weightOf).map(({record}) => record);
	const workOf = (record: ServerRecord) => record.recentWork.at(now) / (weightOf?.(record) ?? 1);
	return second && workOf(second) < workOf(first!) ? second : first;
}

/** Returns the healthy servers that did not report an overload recently, else all healthy ones, else all. */
export function preferred(candidates: readonly ServerRecord[], now: number): readonly ServerRecord[] {
	const healthy = candidates.filter(({health}) => health.isAvailable(now));
	const ready = healthy.filter(({overloadedUntil}) => overloadedUntil <= now);
	return ready.length > 0 ? ready : (healthy.length > 0 ? healthy : candidates);
}

/** Cost of sending a request to a server; the host's own zone breaks ties. */
function loadCost({server, inFlight}: ServerRecord, zone: string): number {
	return (inFlight / Math.max(1, server.capacity)) + (server.zone === zone ? 0 : 0.01);
}

function leastLoaded(candidates: readonly ServerRecord[], zone: string, random: RandomSource): ServerRecord | undefined {
	let best: ServerRecord | undefined;
	let bestCost = Infinity;
	for (const record of candidates) {
		// The jitter keeps hosts from choosing the same server at the same time.
		const cost = loadCost(record, zone) + (random.next() * 0.01);
		if (cost < bestCost) {
			bestCost = cost;
			best = record;
		}
	}

	return best;
}
