import {type Clock} from '../base/clock.js';
import {
	compareGrants, type BudgetDemand, type BudgetGrant, type BudgetRate, type BudgetReport, type GrantNumber,
} from './budget-messages.js';
import {type CustomerLimits} from './customer-limits.js';
import {TokenBucket} from './token-bucket.js';

type Budget = {rate: BudgetRate; requests?: TokenBucket; tokens?: TokenBucket};
type Demand = {requests: number; tokens: number; since: number; rate: {requests: number; tokens: number}};

/** Burst size in seconds of the granted rate. One second covers the interval between renewals. */
const burstSeconds = 1;
/** Weight of the last interval in the reported demand, an exponential moving average. It is high, so that unused share is released after one or two renewals. */
const demandWeight = 0.7;
/** Demand below this number of requests per second counts as zero, and its entry is removed. */
const minDemand = 0.01;
/** Retry delay in milliseconds reported to a caller while no grant is held: one renewal interval. */
const renewalMs = 1000;

/** Budgets of this entry host: reports demand, applies grants and stops using them when the lease expires. */
export class BudgetLeases implements CustomerLimits {
	private readonly _budgets = new Map<string, Budget>();
	private readonly _demands = new Map<string, Demand>();
	private _applied: GrantNumber = {term: 0, sequence: 0};
	private _expiresAt = 0;

	/** `_isLimited` returns whether a customer has a limit. */
	constructor(private readonly _clock: Clock, private readonly _host: string, private readonly _incarnation: number, private readonly _isLimited: (key: string) => boolean) {}

	/** Whether the grants are valid now. */
	get isValid(): boolean {
		return this._clock.now() < this._expiresAt;
	}

	/** Granted rate of a customer; zero without a valid grant. */
	held(key: string): BudgetRate {
		return this.isValid ? this._budgets.get(key)?.rate ?? {requests: 0, tokens: 0} : {requests: 0, tokens: 0};
	}

	/** Creates the report for the next renewal. The caller keeps the time of sending for `applyGrant`. */
	report(): BudgetReport {
		const now = this._clock.now();
		const demands: BudgetDemand[] = [];
		for (const key of new Set([...this._demands.keys(), ...this._budgets.keys()])) {
			demands.push({key, demand: this._closeInterval(key, now), held: this.held(key)});
		}

		return {
			host: this._host, incarnation: this._incarnation, applied: this._applied, demands,
		};
	}

	/** Applies a grant. The lease starts at `sentAt`, so that it expires here before it expires at the leader. A stale grant is ignored. */
	applyGrant(grant: BudgetGrant, sentAt: number): void {
		if (compareGrants(grant.number, this._applied) <= 0) {
			return;
		}

		const now = this._clock.now();
		const previous = new Map(this._budgets);
		const rates = grant.budgets.map(({key, rate}) => ({key, rate: grant.atMostHeld ? minRate(rate, this.held(key)) : rate}));
		this._applied = grant.number;
		this._expiresAt = sentAt + grant.leaseMs;
		this._budgets.clear();
		for (const {key, rate} of rates) {
			this._budgets.set(key, renewBudget(previous.get(key), rate, now));
		}
	}

	take(key: string, tokens: number): number {
		if (!this._isLimited(key)) {
			return 0;
		}

		const now = this._clock.now();
		const demand = this._demand(key, now);
		demand.requests++;
		demand.tokens += tokens;
		const budget = this.isValid ? this._budgets.get(key) : undefined;
		if (!budget) {
			return renewalMs;
		}

		const waitMs = Math.max(budget.requests?.waitMs(1, now) ?? 0, budget.tokens?.waitMs(tokens, now) ?? 0);
		if (waitMs === 0) {
			budget.requests?.take(1, now);
			budget.tokens?.take(tokens, now);
		}

		return waitMs;
	}

	refund(key: string, tokens: number): void {
		const budget = this._budgets.get(key);
		budget?.requests?.take(-1, this._clock.now());
		budget?.tokens?.take(-tokens, this._clock.now());
	}

	settle(key: string, tokens: number): void {
		this._budgets.get(key)?.tokens?.take(tokens, this._clock.now());
	}

	private _demand(key: string, now: number): Demand {
		let demand = this._demands.get(key);
		if (!demand) {
			demand = {
				requests: 0, tokens: 0, since: now, rate: {requests: 0, tokens: 0},
			};
			this._demands.set(key, demand);
		}

		return demand;
	}

	/** Ends the current measurement interval and returns the smoothed demand. */
	private _closeInterval(key: string, now: number): {requests: number; tokens: number} {
		const demand = this._demands.get(key);
		if (!demand) {
			return {requests: 0, tokens: 0};
		}

		const seconds = Math.max(0.1, (now - demand.since) / 1000);
		const smooth = (previous: number, sum: number) => (previous * (1 - demandWeight)) + (demandWeight * sum / seconds);
		demand.rate = {requests: smooth(demand.rate.requests, demand.requests), tokens: smooth(demand.rate.tokens, demand.tokens)};
		demand.requests = 0;
		demand.tokens = 0;
		demand.since = now;
		if (demand.rate.requests < minDemand) {
			this._demands.delete(key);
			return {requests: 0, tokens: 0};
		}

		return demand.rate;
	}
}

function minRate(a: BudgetRate, b: BudgetRate): BudgetRate {
	return {
		requests: a.requests === undefined ? undefined : Math.min(a.requests, b.requests ?? 0),
		tokens: a.tokens === undefined ? undefined : Math.min(a.tokens, b.tokens ?? 0),
	};
}

function renewBudget(previous: Budget | undefined, rate: BudgetRate, now: number): Budget {
	return {
		rate,
		// The capacity is at least one request, otherwise a small grant could never be used.
		requests: renewBucket(previous?.requests, rate.requests, 1, now),
		tokens: renewBucket(previous?.tokens, rate.tokens, 0, now),
	};
}

function renewBucket(previous: TokenBucket | undefined, rate: number | undefined, minCapacity: number, now: number): TokenBucket | undefined {
	if (rate === undefined) {
		return undefined;
	}

	const capacity = Math.max(minCapacity, rate * burstSeconds);
	if (!previous) {
		return new TokenBucket(rate, capacity, now);
	}

	previous.configure(rate, capacity, now);
	return previous;
}
