import {type Urgency} from '../documents/urgency.js';
import {DrainRate} from './drain-rate.js';

/** A request in the queue. */
export interface QueueItem {
	/** Key of the customer and service; the requests of one flow share its weight. */
	readonly flow: string;
	readonly weight: number;
	readonly urgency: Urgency;
	/** Cost in tokens. */
	readonly cost: number;
}

type Flow<Item> = {
	readonly name: string;
	weight: number;
	/** Virtual start time of its next request, in tokens per unit of weight. */
	start: number;
	/** Queues by rank of urgency. */
	readonly queues: readonly [Item[], Item[], Item[]];
	readonly costs: [number, number, number];
	/** Rates at which the queues are drained, by rank. */
	readonly rates: readonly [DrainRate, DrainRate, DrainRate];
	count: number;
};

type Rank = 0 | 1 | 2;
const rankOf: Readonly<Record<Urgency, Rank>> = {urgent: 0, normal: 1, batch: 2};

/**
Minimum share of the work for each urgency while it has queued requests, by rank.
It prevents starvation of normal and batch requests when urgent requests alone could use the whole capacity.
*/
const minShares = [0, 0.1, 0.05] as const;
/** Tokens by which a flow may exceed its fair share and still be served by urgency; about 15 typical requests. */
const defaultBurstTokens = 20_000;
/**
Tokens of unused share that a flow may use later.
An entry host receives few requests of a small customer, so its demand there varies by several requests even if it stays within its share.
*/
const defaultCreditTokens = 20_000;
/** Factor on the burst for urgent requests, so that normal and batch requests of a flow cannot use up the burst of its urgent ones. */
const urgentBurstFactor = 2;

/**
Queue with start-time fair queueing between flows, ordered by urgency within the fair share.
A flow that exceeds its share by more than the burst waits until the other flows with queued requests have caught up.
*/
export class FairQueue<Item extends QueueItem> {
	private readonly _flows = new Map<string, Flow<Item>>();
	private readonly _costs: [number, number, number] = [0, 0, 0];
	private readonly _minShareCredits: [number, number, number] = [0, 0, 0];
	private _size = 0;
	private _virtualTime = 0;

	constructor(private readonly _burstTokens = defaultBurstTokens, private readonly _creditTokens = defaultCreditTokens) {}

	/** Number of queued requests. */
	get size(): number {
		return this._size;
	}

	/** Total cost of the queued requests in tokens. */
	get cost(): number {
		return this._costs[0] + this._costs[1] + this._costs[2];
	}

	/** Appends a request to the queue of its flow and urgency. */
	add(item: Item, now: number): void {
		const flow = this._flow(item);
		const rank = rankOf[item.urgency];
		flow.queues[rank].push(item);
		this._updateTotals(flow, rank, item.cost, 1);
		flow.rates[rank].setBusy(true, now);
	}

	/** Removes and returns the next request, and charges its cost to its flow. With `only`, considers only urgent requests of flows within their share. */
	shift(now: number, only?: 'urgent'): Item | undefined {
		this._advanceVirtualTime();
		const found = only ? this._nextOfRank(0) : this._next();
		if (!found) {
			return undefined;
		}

		const {flow, rank} = found;
		const item = flow.queues[rank].shift()!;
		this._updateTotals(flow, rank, item.cost, -1);
		flow.rates[rank].recordFinished(item.cost, now);
		flow.rates[rank].setBusy(flow.queues[rank].length > 0, now);
		flow.start += item.cost / flow.weight;
		this._updateMinShareCredits(rank, item.cost);
		return item;
	}

	/** Charges the difference between the actual and the expected cost of a request that was shifted. */
	charge(item: QueueItem, cost: number): void {
		const flow = this._flow(item);
		flow.start += cost / flow.weight;
	}

	/** Removes a request without serving it. @returns whether it was in the queue. */
	remove(item: Item, now: number): boolean {
		const flow = this._flows.get(item.flow);
		const rank = rankOf[item.urgency];
		const index = flow?.queues[rank].indexOf(item) ?? -1;
		if (!flow || index === -1) {
			return false;
		}

		flow.queues[rank].splice(index, 1);
		this._updateTotals(flow, rank, item.cost, -1);
		flow.rates[rank].setBusy(flow.queues[rank].length > 0, now);
		return true;
	}

	/** Returns the request to shed: the newest of the least urgent ones of the flow with the highest backlog relative to its weight. */
	shedCandidate(): Item | undefined {
		let longest: Flow<Item> | undefined;
		for (const flow of this._flows.values()) {
			if (flow.count > 0 && (!longest || backlog(flow) > backlog(longest))) {
				longest = flow;
			}
		}

		return longest?.queues.findLast(queue => queue.length > 0)?.at(-1);
	}

	/** Time in milliseconds that a new request would wait behind the requests of its own flow and urgency at their current rate; 0 while unknown. */
	urgencyWaitMs(item: QueueItem): number {
		const flow = this._flows.get(item.flow);
		const rank = rankOf[item.urgency];
		const rate = flow?.rates[rank].conservativeTokensPerSecond;
		return flow && rate !== undefined ? 1000 * flow.costs[rank] / rate : 0;
	}

	/** Upper bound of the tokens that are served before a new request. */
	costAhead(item: QueueItem): number {
		this._advanceVirtualTime();
		const rank = rankOf[item.urgency];
		const flow = this._flows.get(item.flow);
		let weights = flow && flow.count > 0 ? 0 : item.weight;
		for (const other of this._flows.values()) {
			weights += other.count > 0 ? other.weight : 0;
		}

		const ownCost = flow ? costUpTo(flow.costs, rank) : 0;
		const ownExcess = flow ? Math.max(0, flow.start - this._virtualTime) : 0;
		const costByShare = ((ownCost / item.weight) + ownExcess) * weights;
		return Math.min(this.cost, flow && this._exceedsShare(flow, rank) ? costByShare : Math.min(costByShare, costUpTo(this._costs, rank)));
	}

	private _next(): {flow: Flow<Item>; rank: Rank} | undefined {
		for (const rank of [2, 1] as const) {
			const found = this._minShareCredits[rank] > 0 ? this._nextOfRank(rank) : undefined;
			if (found && this._minShareCredits[rank] >= found.flow.queues[rank][0]!.cost) {
				return found;
			}
		}

		return this._nextOfRank(0) ?? this._nextOfRank(1) ?? this._nextOfRank(2);
	}

	/** Finds the flow with the earliest start time among those within their share that have a request of the rank. */
	private _nextOfRank(rank: Rank): {flow: Flow<Item>; rank: Rank} | undefined {
		let first: Flow<Item> | undefined;
		for (const flow of this._flows.values()) {
			if (flow.queues[rank].length > 0 && !this._exceedsShare(flow, rank) && (!first || flow.start < first.start)) {
				first = flow;
			}
		}

		return first && {flow: first, rank};
	}

	private _exceedsShare(flow: Flow<Item>, rank: Rank): boolean {
		return (flow.start - this._virtualTime) * flow.weight > this._burstTokens * (rank === 0 ? urgentBurstFactor : 1);
	}

	/** Earliest allowed start time, which is that of a flow that has been idle for long. */
	private _minStart(weight: number): number {
		return this._virtualTime - (this._creditTokens / weight);
	}

	/** Advances virtual time to the earliest start time of the flows with queued requests; it never decreases. */
	private _advanceVirtualTime(): void {
		let earliest = Number.POSITIVE_INFINITY;
		for (const flow of this._flows.values()) {
			if (flow.count > 0) {
				earliest = Math.min(earliest, flow.start);
			} else if (flow.start <= this._minStart(flow.weight)) {
				this._flows.delete(flow.name);
			}
		}

		if (Number.isFinite(earliest)) {
			this._virtualTime = Math.max(this._virtualTime, earliest);
		}
	}

	private _updateMinShareCredits(served: Rank, cost: number): void {
		for (const rank of [1, 2] as const) {
			const credit = this._minShareCredits[rank] + (minShares[rank] * cost) - (served === rank ? cost : 0);
			this._minShareCredits[rank] = this._costs[rank] > 0 ? Math.max(0, credit) : 0;
		}
	}

	private _flow(item: QueueItem): Flow<Item> {
		let flow = this._flows.get(item.flow);
		if (!flow) {
			flow = {
				name: item.flow,
				weight: item.weight,
				start: this._minStart(item.weight),
				queues: [[], [], []],
				costs: [0, 0, 0],
				rates: [new DrainRate(), new DrainRate(), new DrainRate()],
				count: 0,
			};
			this._flows.set(item.flow, flow);
		}

		flow.weight = item.weight;
		if (flow.count === 0) {
			flow.start = Math.max(flow.start, this._minStart(item.weight));
		}

		return flow;
	}

	private _updateTotals(flow: Flow<Item>, rank: Rank, cost: number, sign: 1 | -1): void {
		flow.count += sign;
		flow.costs[rank] += sign * cost;
		this._costs[rank] += sign * cost;
		this._size += sign;
	}
}

function backlog(flow: {costs: readonly [number, number, number]; weight: number}): number {
	return costUpTo(flow.costs, 2) / flow.weight;
}

/** Total cost of the ranks up to the given one. */
function costUpTo(costs: readonly [number, number, number], rank: Rank): number {
	return rank === 0 ? costs[0] : (rank === 1 ? costs[0] + costs[1] : costs[0] + costs[1] + costs[2]);
}
