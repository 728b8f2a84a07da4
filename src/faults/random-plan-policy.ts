import {type RandomSource} from '../common/base/random-source.js';
import {type CascadePolicy, type PlanContext} from '../common/routing/cascade-policy.js';
import {type Plan} from '../common/routing/plan.js';

/** Chooses versions and cascades at random, so that short runs exercise every request path. */
export class RandomPlanPolicy implements CascadePolicy {
	constructor(private readonly _random: RandomSource) {}

	plan({candidates, pinned, singleStep}: PlanContext): Plan {
		const drawn = candidates[this._random.integer(candidates.length)];
		if (!drawn) {
			return {steps: [], reason: 'no-candidate'};
		}

		const last = {ref: pinned ?? drawn.ref, ratingProbability: 0};
		const first = candidates[0]!;
		const isCascade = pinned === undefined && !singleStep && first !== drawn && this._random.next() < 0.5;
		return {steps: isCascade ? [{ref: first.ref, minConfidence: 0.5, ratingProbability: 0}, last] : [last], reason: 'drawn'};
	}

	observe(): void {
		// The policy does not learn.
	}
}
