import {sortByCost} from './candidate-cost.js';
import {type CascadePolicy, type PlanContext} from './cascade-policy.js';
import {type Plan} from './plan.js';

/** Baseline: always the cheapest version. */
export class CheapestPolicy implements CascadePolicy {
	plan({candidates, pinned, ratingAvailable}: PlanContext): Plan {
		const ref = pinned ?? sortByCost(candidates).at(0)?.ref;
		return {steps: ref === undefined ? [] : [{ref, ratingProbability: ratingAvailable ? 0.2 : 0}], reason: 'always-cheapest'};
	}

	observe(): void {
		// The baseline does not learn.
	}
}
