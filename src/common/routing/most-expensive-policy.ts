import {sortByCost} from './candidate-cost.js';
import {type CascadePolicy, type PlanContext} from './cascade-policy.js';
import {type Plan} from './plan.js';

/** Baseline: always the most expensive version. */
export class MostExpensivePolicy implements CascadePolicy {
	plan({candidates, pinned, ratingAvailable}: PlanContext): Plan {
		const ref = pinned ?? sortByCost(candidates).at(-1)?.ref;
		return {steps: ref === undefined ? [] : [{ref, ratingProbability: ratingAvailable ? 0.2 : 0}], reason: 'always-dearest'};
	}

	observe(): void {
		// The baseline does not learn.
	}
}
