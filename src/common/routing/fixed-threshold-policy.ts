import {sortByCost} from './candidate-cost.js';
import {type CascadePolicy, type PlanContext} from './cascade-policy.js';
import {type Plan} from './plan.js';

/** Baseline: the cheapest version, then the most expensive one if the confidence is below a fixed threshold. */
export class FixedThresholdPolicy implements CascadePolicy {
	constructor(private readonly _minConfidence: number) {}

	plan({candidates, pinned, ratingAvailable}: PlanContext): Plan {
		const ratingProbability = ratingAvailable ? 0.2 : 0;
		const ordered = sortByCost(candidates);
		const first = pinned ?? ordered.at(0)?.ref;
		const last = ordered.at(-1)?.ref;
		if (first === undefined) {
			return {steps: [], reason: 'no-candidate'};
		}

		const steps = pinned !== undefined || last === undefined || first === last
			? [{ref: first, ratingProbability}]
			: [{ref: first, minConfidence: this._minConfidence, ratingProbability}, {ref: last, ratingProbability}];
		return {steps, reason: 'fixed-threshold'};
	}

	observe(): void {
		// The baseline does not learn.
	}
}
