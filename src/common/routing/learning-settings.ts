import {type ExplorationLimits} from './exploration-budget.js';
import {type ServiceModelLimits} from './service-model.js';

/** Options of a `LearningCascadePolicy`. */
export interface LearningSettings extends ServiceModelLimits {
	/** Half-life of the estimates in milliseconds. */
	readonly halfLifeMs: number;
	readonly exploration: ExplorationLimits;
	/** Share of the answers that are rated once the versions have enough ratings. */
	readonly ratingShare: number;
	/** Cost of one second of expected time to the complete answer, in the unit of the prices. */
	readonly latencyCost: number;
}

/** Default settings, used by the daemon. */
export const defaultLearningSettings: LearningSettings = {
	halfLifeMs: 86_400_000,
	windowMs: 86_400_000,
	refreshMs: 15_000,
	exploration: {initial: 200, share: 0.02, pending: 60},
	ratingShare: 0.4,
	latencyCost: 0,
};
