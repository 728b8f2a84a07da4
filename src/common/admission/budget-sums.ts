import {type BudgetRate} from './budget-messages.js';

type Rate = {requests: number; tokens: number};
type Sums = {readonly demand: Rate; readonly maxHeld: Rate};

const none: Sums = {demand: {requests: 0, tokens: 0}, maxHeld: {requests: 0, tokens: 0}};

/** Contribution of one entry host to the sums. */
export interface BudgetContribution {
	readonly demands: ReadonlyMap<string, Readonly<Rate>>;
	/** Highest rates that it may still hold. */
	readonly maxHeld: ReadonlyMap<string, BudgetRate>;
}

/**
Sums of demands and of grants that may be in use, by customer. The sums are updated incrementally, because scanning all
hosts at each renewal would cost time quadratic in their number.
*/
export class BudgetSums {
	private readonly _sums = new Map<string, Sums>();

	of(key: string): Readonly<Sums> {
		return this._sums.get(key) ?? none;
	}

	add(contribution: BudgetContribution): void {
		this._update(contribution, 1);
	}

	remove(contribution: BudgetContribution): void {
		this._update(contribution, -1);
	}

	clear(): void {
		this._sums.clear();
	}

	private _update({demands, maxHeld}: BudgetContribution, sign: 1 | -1): void {
		for (const [key, {requests, tokens}] of demands) {
			const {demand} = this._getOrCreate(key);
			demand.requests += sign * requests;
			demand.tokens += sign * tokens;
		}

		for (const [key, {requests = 0, tokens = 0}] of maxHeld) {
			const sums = this._getOrCreate(key);
			sums.maxHeld.requests += sign * requests;
			sums.maxHeld.tokens += sign * tokens;
		}
	}

	private _getOrCreate(key: string): Sums {
		let sums = this._sums.get(key);
		if (!sums) {
			sums = {demand: {requests: 0, tokens: 0}, maxHeld: {requests: 0, tokens: 0}};
			this._sums.set(key, sums);
		}

		return sums;
	}
}
