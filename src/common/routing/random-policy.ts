import {type RandomSource} from '../base/random-source.js';
import {type CascadePolicy, type PlanContext} from './cascade-policy.js';
import {type Plan} from './plan.js';

/** Baseline: a random version. */
export class RandomPolicy implements CascadePolicy {
	constructor(private readonly _random: RandomSource) {}

	plan({candidates, pinned, ratingAvailable}: PlanContext): Plan {
		const ref = pinned ?? candidates[this._random.integer(candidates.length)]?.ref;
		return {steps: ref === undefined ? [] : [{ref, ratingProbability: ratingAvailable ? 0.2 : 0}], reason: 'random'};
	}

	observe(): void {
		// The baseline does not learn.
	}
}
