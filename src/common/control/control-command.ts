import {type ServiceDocument} from '../documents/service-document.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type RolloutStep} from '../rollout/rollout-state.js';
import {type BackendServer} from './backend-server.js';
import {type BurnSums} from './burn-sums.js';
import {type EntryHost} from './entry-host.js';
import {type ServiceRolloutState} from './service-rollout.js';

/** A change made by an operator; `changeId` makes a resend safe. */
interface OperatorChange {
	readonly changeId: string;
	/** Revision that the change was made from; a later change of the same service is then a conflict. */
	readonly baseRevision?: number;
}

/** Creates or replaces the document of a service. */
export interface SubmitDocument extends OperatorChange {
	readonly type: 'submit-document';
	readonly document: ServiceDocument;
}

/** Removes the document of a service. */
export interface RemoveDocument extends OperatorChange {
	readonly type: 'remove-document';
	readonly service: string;
}

/** Forbids a version of a service for all new work. */
export interface WithdrawVersion extends OperatorChange {
	readonly type: 'withdraw-version';
	readonly service: string;
	readonly ref: VersionRef;
}

/** An entry host started. */
export interface EntryJoined {
	readonly type: 'entry-joined';
	readonly entry: EntryHost;
}

/** An entry host drains (`entry-leaving`) or its lease ran out (`entry-expired`). */
export interface EntryLeft {
	readonly type: 'entry-leaving' | 'entry-expired';
	readonly host: string;
	readonly incarnation: number;
	/** Unix milliseconds at the proposer, from which the tombstones age. */
	readonly at: number;
}

/** A backend server announced itself or changed its announcement. */
export interface BackendJoined {
	readonly type: 'backend-joined';
	readonly server: BackendServer;
	/** Unix milliseconds at the proposer, from which the tombstones age. */
	readonly at: number;
}

/** A backend server left (`backend-left`), was found dead (`backend-expired`), or is no longer heard and may come back (`backend-silent`). */
export interface BackendGone {
	readonly type: 'backend-left' | 'backend-expired' | 'backend-silent';
	readonly id: string;
	readonly incarnation: number;
	readonly at: number;
}

/** Keeps a version away from requests of a class of a service. */
export interface Quarantine {
	readonly type: 'quarantine' | 'lift-quarantine';
	readonly service: string;
	/** Request class, or `*` for all. */
	readonly requestClass: string;
	readonly ref: VersionRef;
	/** What led to it, for people. */
	readonly reason: string;
}

/** Replaces the routing configuration, unless the one held has the same or a higher version. */
export interface ApplyRouting {
	readonly type: 'apply-routing';
	readonly version: number;
	/** The configuration as it was submitted, in the format of the interface that took it. */
	readonly source: string;
}

/** Orders the traffic of a service to be moved to the backend servers of a release. */
export interface StartServiceRollout {
	readonly type: 'start-service-rollout';
	readonly service: string;
	readonly target: string;
	readonly durationMs: number;
	/** Unix milliseconds at the leader. */
	readonly at: number;
}

/** Changes the share of a service roll-out or ends it. */
export interface ServiceRolloutStep {
	readonly type: 'service-rollout-step';
	readonly service: string;
	readonly target: string;
	readonly state: ServiceRolloutState;
	/** Share of the sessions that go to the target. */
	readonly share: number;
	/** Whether sessions that run on the old release keep it. */
	readonly holdsSessions: boolean;
	/** What led to the step, for people. */
	readonly reason: string;
}

/** Takes the next fencing number, which is the index of this command. */
export interface NextFencing {
	readonly type: 'next-fencing';
	/** Host of the new leader, for people. */
	readonly leader: string;
}

/** Commands of the control log. */
export type ControlCommand = SubmitDocument | RemoveDocument | WithdrawVersion | EntryJoined | EntryLeft | BackendJoined | BackendGone | Quarantine | NextFencing | RolloutStep | BurnSums | ApplyRouting | StartServiceRollout | ServiceRolloutStep;
