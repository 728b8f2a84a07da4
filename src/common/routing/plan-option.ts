import {type VersionRef} from '../documents/version-ref.js';

/** Candidate plan with its expected quality. */
export interface PlanOption {
	readonly refs: readonly VersionRef[];
	/** Lowest confidence at which the first answer is accepted; absent for a plan with one step. */
	readonly minConfidence?: number;
	/** Share of the requests that escalate to the second step. */
	readonly escalationShare: number;
	/** Expected mean rating. */
	readonly quality: number;
	/** Lower confidence bound of the mean rating. */
	readonly lowerBound: number;
}
