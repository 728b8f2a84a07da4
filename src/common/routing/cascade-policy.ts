import {type Urgency} from '../documents/urgency.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {type Plan} from './plan.js';

/** A version that a request may use, with its price per million tokens. */
export interface VersionCandidate {
	readonly ref: VersionRef;
	readonly inputCost: number;
	readonly outputCost: number;
	/** Current expected time to first token in milliseconds, from queue and load; undefined when unknown. */
	readonly expectedFirstTokenMs?: number;
	/** Version that this one replaces; its estimates are the prior of the new version. */
	readonly replaces?: VersionRef;
}

/** Input for the plan of a request. */
export interface PlanContext {
	readonly service: string;
	readonly requestClass: string;
	readonly urgency: Urgency;
	/** Time left until the deadline in milliseconds. */
	readonly deadlineMs: number;
	readonly inputTokens: number;
	readonly maxTokens: number;
	/** Versions that the customer may use and that are available, not withdrawn and not quarantined. */
	readonly candidates: readonly VersionCandidate[];
	/** Version that the session is pinned to; the plan then has this version as its only step. */
	readonly pinned?: VersionRef;
	/** Whether the plan must have a single step, as when it chooses the version of a new session. */
	readonly singleStep?: boolean;
	/** Whether the answer pins the session to its version; such a request is not used for exploration. */
	readonly startsSession?: boolean;
	readonly qualityTarget: number;
	readonly qualityConfidence: number;
	/** Whether the rating service is available. */
	readonly ratingAvailable: boolean;
}

/** Chooses the versions for a request and may learn from the outcomes. */
export interface CascadePolicy {
	/** Plans the steps of a request; there are none when there is no candidate. */
	plan(context: PlanContext): Plan;
	/**
	Records the outcome of an attempt. It is called first without a rating, and again when the rating arrives, however late.
	A call with a rating records only the rating.
	*/
	observe(outcome: AttemptOutcome): void;
}
