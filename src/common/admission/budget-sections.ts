import {type Clock} from '../base/clock.js';
import {type ControlView} from '../control/control-view.js';
import {type FollowerSection} from '../control/follower-section.js';
import {type LeaderSection, type RenewalSender} from '../control/leader-section.js';
import {renewalSection} from '../control/renewal-section.js';
import {type BudgetAllocator} from './budget-allocator.js';
import {type BudgetLeases} from './budget-leases.js';
import {
	type BudgetGrant, type BudgetLimit, type BudgetRate, type BudgetReport,
} from './budget-messages.js';
import {limitKey} from './limit-key.js';

/** Renewal section for the budgets of customers, which the leader leases. */
export const budgetSection = renewalSection<BudgetReport, BudgetGrant>('budgets');

/** Limits of all limited customers, from the current documents. */
export function budgetLimits(view: Pick<ControlView, 'documents'>): BudgetLimit[] {
	const limits: BudgetLimit[] = [];
	for (const {document} of view.documents.values()) {
		for (const {name, requestsPerSecond, tokensPerSecond} of document.customers) {
			if (requestsPerSecond !== undefined || tokensPerSecond !== undefined) {
				limits.push({key: limitKey(document.service, name), limit: {requests: requestsPerSecond, tokens: tokensPerSecond}});
			}
		}
	}

	return limits;
}

/** Entry host side: reports demand and applies grants. */
export class BudgetReporter implements FollowerSection<BudgetReport, BudgetGrant> {
	readonly section = budgetSection;
	private _sentAt = 0;

	constructor(private readonly _leases: BudgetLeases, private readonly _clock: Clock, private readonly _hasLimits: () => boolean) {}

	collect(): BudgetReport | undefined {
		this._sentAt = this._clock.now();
		if (!this._hasLimits()) {
			return undefined;
		}

		const report = this._leases.report();
		return {...report, demands: report.demands.map(({key, demand, held}) => ({key, demand: {requests: roundDown(demand.requests), tokens: roundDown(demand.tokens)}, held: roundRate(held)}))};
	}

	acknowledge(_term: number, _sent: BudgetReport | undefined, reply: BudgetGrant | undefined): void {
		if (reply) {
			this._leases.applyGrant(reply, this._sentAt);
		}
	}
}

/** Leader side: answers each report with a grant under the current limits. */
export class BudgetGranter implements LeaderSection<BudgetReport, BudgetGrant> {
	readonly section = budgetSection;
	private readonly _reports = new Map<string, BudgetReport>();
	private _allocator: BudgetAllocator | undefined;

	/** `_createAllocator` creates the allocator of the current term. */
	constructor(private readonly _view: Pick<ControlView, 'documents'>, private readonly _clock: Clock, private readonly _createAllocator: () => BudgetAllocator) {}

	reset(): void {
		this._reports.clear();
		this._allocator = this._createAllocator();
	}

	receive({host}: RenewalSender, report: BudgetReport): void {
		this._reports.set(host, report);
	}

	reply({host}: RenewalSender, isGranted: boolean): BudgetGrant | undefined {
		const report = this._reports.get(host);
		// A report is answered only once: a grant for a stale report could exceed the grant that the host holds now.
		this._reports.delete(host);
		const grant = report && isGranted ? this._allocator?.grant(report, budgetLimits(this._view), this._clock.now()) : undefined;
		return grant && {...grant, budgets: grant.budgets.map(({key, rate}) => ({key, rate: roundRate(rate)}))};
	}
}

/** Rounds a rate to four significant digits, to save bytes; rounds down, so that the sum of the grants stays within the limit. */
function roundRate({requests, tokens}: BudgetRate): BudgetRate {
	return {requests: requests && roundDown(requests), tokens: tokens && roundDown(tokens)};
}

function roundDown(value: number): number {
	if (value <= 0) {
		return value;
	}

	const unit = 10 ** (Math.floor(Math.log10(value)) - 3);
	return Number((Math.floor(value / unit) * unit).toPrecision(4));
}
