import {
	type BudgetGrant, type BudgetLimit, type BudgetRate, type BudgetReport,
} from './budget-messages.js';
import {BudgetSums} from './budget-sums.js';

type Unit = 'requests' | 'tokens';
type Rates = Map<string, BudgetRate>;
type Outstanding = {readonly sequence: number; readonly expiresAt: number; readonly rates: Rates};
type Lessee = {
	readonly outstanding: Outstanding[];
	readonly demands: Map<string, {requests: number; tokens: number}>;
	/** Highest rates of the outstanding grants. */
	maxHeld: Map<string, BudgetRate>;
};

const units = ['requests', 'tokens'] as const;
/** Factor on lease durations that allows for clock drift between hosts. */
const driftFactor = 1.01;
/** Fraction of each limit that is divided equally, so that every entry host has a grant for a first request. */
const baseShare = 0.2;
/** Maximum ratio of a grant to the reported demand. It is above 1 so that growing demand is not refused while the limit allows it. */
const demandHeadroom = 1.5;

/**
Divides the limits of customers among entry hosts. Every grant that an entry host may still hold counts as granted, until
the host acknowledges a later one or the lease expires. So the sum of the grants in use never exceeds a limit.
*/
export class BudgetAllocator {
	private readonly _lessees = new Map<string, Lessee>();
	private readonly _sums = new BudgetSums();
	private readonly _startedAt: number;
	/** No grant expires before this time. */
	private _nextExpiryAt = Number.POSITIVE_INFINITY;
	private _sequence = 0;

	/** An allocator serves one term of a leader; `now` is the time at which it became leader. */
	constructor(private readonly _term: number, private readonly _leaseMs: number, now: number) {
		this._startedAt = now;
	}

	/** Answers a report. `limits` are the current limits of all limited customers. */
	grant(report: BudgetReport, limits: readonly BudgetLimit[], now: number): BudgetGrant {
		this._removeExpired(now);
		const lessee = this._lessee(report);
		this._sums.remove(lessee);
		removeWhere(lessee.outstanding, grant => grant.expiresAt <= now);
		if (report.applied.term === this._term) {
			removeWhere(lessee.outstanding, grant => grant.sequence < report.applied.sequence);
		}

		lessee.demands.clear();
		for (const {key, demand} of report.demands) {
			lessee.demands.set(key, demand);
		}

		// Grants of the previous leader may be in use until its last lease expires; until then entry hosts keep their grants.
		const arePreviousGrantsExpired = now >= this._startedAt + (this._leaseMs * driftFactor);
		const rates: Rates = new Map();
		for (const {key, limit} of limits) {
			rates.set(key, arePreviousGrantsExpired ? this._allocate(lessee, key, limit) : heldRate(report, key, limit));
		}

		const sequence = ++this._sequence;
		lessee.outstanding.push({sequence, expiresAt: now + (this._leaseMs * driftFactor), rates});
		this._nextExpiryAt = Math.min(this._nextExpiryAt, now + (this._leaseMs * driftFactor));
		lessee.maxHeld = maxHeldRates(lessee);
		this._sums.add(lessee);
		const budgets = [...rates].map(([key, rate]) => ({key, rate}));
		return {
			number: {term: this._term, sequence}, leaseMs: this._leaseMs, atMostHeld: !arePreviousGrantsExpired, budgets,
		};
	}

	private _allocate(lessee: Lessee, key: string, limit: BudgetRate): BudgetRate {
		const rate: {requests?: number; tokens?: number} = {};
		for (const unit of units) {
			if (limit[unit] !== undefined) {
				rate[unit] = this._allocateUnit(lessee, key, unit, limit[unit]);
			}
		}

		return rate;
	}

	private _allocateUnit(lessee: Lessee, key: string, unit: Unit, limit: number): number {
		// The sums exclude this entry host here.
		const sums = this._sums.of(key);
		const demand = lessee.demands.get(key)?.[unit] ?? 0;
		const totalDemand = sums.demand[unit] + demand;
		const base = limit * baseShare / this._lessees.size;
		const rest = limit * (1 - baseShare);
		const share = totalDemand <= 0 ? 0 : Math.min(demandHeadroom * demand, rest * demand / totalDemand);
		return Math.max(0, Math.min(base + share, limit - sums.maxHeld[unit]));
	}

	private _lessee({host, incarnation}: BudgetReport): Lessee {
		const name = `${host}#${incarnation}`;
		let lessee = this._lessees.get(name);
		if (!lessee) {
			lessee = {outstanding: [], demands: new Map(), maxHeld: new Map()};
			this._lessees.set(name, lessee);
		}

		return lessee;
	}

	/** Removes expired grants, and entry hosts without grants. */
	private _removeExpired(now: number): void {
		if (now < this._nextExpiryAt) {
			return;
		}

		this._nextExpiryAt = Number.POSITIVE_INFINITY;
		// The sums are recomputed from scratch, so that rounding errors do not accumulate.
		this._sums.clear();
		for (const [name, lessee] of this._lessees) {
			removeWhere(lessee.outstanding, grant => grant.expiresAt <= now);
			if (lessee.outstanding.length === 0) {
				this._lessees.delete(name);
			} else {
				lessee.maxHeld = maxHeldRates(lessee);
				this._sums.add(lessee);
				this._nextExpiryAt = Math.min(this._nextExpiryAt, ...lessee.outstanding.map(({expiresAt}) => expiresAt));
			}
		}
	}
}

/** Highest rates that the entry host may still hold. */
function maxHeldRates({outstanding}: Lessee): Map<string, BudgetRate> {
	const maxHeld = new Map<string, {requests: number; tokens: number}>();
	for (const {rates} of outstanding) {
		for (const [key, {requests = 0, tokens = 0}] of rates) {
			const highest = maxHeld.get(key);
			maxHeld.set(key, {requests: Math.max(highest?.requests ?? 0, requests), tokens: Math.max(highest?.tokens ?? 0, tokens)});
		}
	}

	return maxHeld;
}

/** Rate that the entry host holds according to its report, within the limit. */
function heldRate(report: BudgetReport, key: string, limit: BudgetRate): BudgetRate {
	const held = report.demands.find(demand => demand.key === key)?.held;
	const rate: {requests?: number; tokens?: number} = {};
	for (const unit of units) {
		if (limit[unit] !== undefined) {
			rate[unit] = Math.min(limit[unit], held?.[unit] ?? 0);
		}
	}

	return rate;
}

function removeWhere<T>(items: T[], isRemoved: (item: T) => boolean): void {
	const kept = items.filter(item => !isRemoved(item));
	items.splice(0, items.length, ...kept);
}
