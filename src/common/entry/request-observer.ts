import {type Urgency} from '../documents/urgency.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type AttemptUsage, type RequestOutcome} from '../ledger/ledger-record.js';
import {type AttemptOutcome} from '../routing/attempt-outcome.js';
import {type Plan} from '../routing/plan.js';
import {type RefusalError} from './refusal-error.js';

/** A request that has ended at this entry host. */
export interface FinishedRequest {
	readonly requestId: string;
	readonly service: string;
	readonly customer: string;
	readonly urgency: Urgency;
	readonly outcome: RequestOutcome;
	/** Refusal sent to the caller instead of a complete answer. */
	readonly refusal?: RefusalError;
	/** Version that answered. */
	readonly ref?: VersionRef;
	/** Class of a request to a model service. */
	readonly requestClass?: string;
	readonly session?: string;
	/** Plan of a request to a model service; absent when the request failed before planning. */
	readonly plan?: Plan;
	/** Session version to which the plan was restricted. */
	readonly pinned?: VersionRef;
	/** Time in milliseconds from the arrival of the request until the first part of the answer is sent to the caller. */
	readonly firstTokenMs?: number;
	/** Mean time in milliseconds between the tokens of the answer. */
	readonly betweenTokensMs?: number;
	readonly cost: number;
	readonly attempts: readonly AttemptUsage[];
}

/** Observes the requests of an entry host. Its methods must not throw and must return quickly. */
export interface RequestObserver {
	/** Called once when a validated request ends on this host; not called for replays of recorded answers. */
	finished(request: FinishedRequest): void;
	/** Called for each rating of an answer; this may be before or after its request ends. */
	rated(outcome: AttemptOutcome): void;
}
