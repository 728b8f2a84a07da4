import {type VersionRef} from '../documents/version-ref.js';

/** One step of a cascade. */
export interface PlanStep {
	readonly ref: VersionRef;
	/** Lowest confidence in [0, 1] at which the answer is accepted. Absent on the last step, whose answer is always accepted; 1 rejects every answer, as in an exploration. */
	readonly minConfidence?: number;
	/** Probability in [0, 1] with which the answer is sent to the rating service. */
	readonly ratingProbability: number;
}

/** Versions to try for a request, in order. */
export interface Plan {
	readonly steps: readonly PlanStep[];
	/** Reason for the plan, shown by `catkinbeam explain`; a stable code such as `cheapest-sufficient` or `explore`. */
	readonly reason: string;
}
