import {type ServiceDocument} from '../documents/service-document.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type RolloutStep} from '../rollout/rollout-state.js';
import {type BackendServer} from './backend-server.js';
import {type BurnSums} from './burn-sums.js';
import {type EntryHost} from './entry-host.js';
import {type ServiceRolloutState} from './service-rollout.js';

/** A change made by an operator; `changeId` makes resends idempotent. */
interface OperatorChange {
	readonly changeId: string;
	/** Revision that the change is based on. The result is a conflict if the service has changed since then. */
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

/** An entry host drains (`entry-leaving`), or its lease has expired or was released (`entry-expired`). */
export interface EntryLeft {
	readonly type: 'entry-leaving' | 'entry-expired';
	readonly host: string;
	readonly incarnation: number;
	/** Time at the leader in Unix milliseconds, from which the age of tombstones is counted. */
	readonly at: number;
}

/** A backend server announced itself or changed its announcement. */
export interface BackendJoined {
	readonly type: 'backend-joined';
	readonly server: BackendServer;
	/** Time at the leader in Unix milliseconds, from which the age of tombstones is counted. */
	readonly at: number;
}

/** A backend server left (`backend-left`), was found dead (`backend-expired`), or sends no heartbeats and may return (`backend-silent`). */
export interface BackendRemoved {
	readonly type: 'backend-left' | 'backend-expired' | 'backend-silent';
	readonly id: string;
	readonly incarnation: number;
	readonly at: number;
}

/** Quarantines a version for a request class of a service, or lifts the quarantine. */
export interface Quarantine {
	readonly type: 'quarantine' | 'lift-quarantine';
	readonly service: string;
	/** Request class, or `*` for all. */
	readonly requestClass: string;
	readonly ref: VersionRef;
	/** Human-readable reason. */
	readonly reason: string;
}

/** Quarantines a part of prompts, because servers end when they begin an answer on it, or lifts the quarantine. */
export interface QuarantinePart {
	readonly type: 'quarantine-part' | 'lift-part-quarantine';
	readonly part: string;
	/** Human-readable reason. */
	readonly reason: string;
}

/** Quarantines a request and its repeats, because servers end when they run it, or lifts the quarantine. */
export interface QuarantineRequest {
	readonly type: 'quarantine-request' | 'lift-request-quarantine';
	readonly digest: string;
	/** Human-readable reason. */
	readonly reason: string;
}

/** Replaces the routing configuration, unless the current one has the same or a higher version. */
export interface ApplyRouting {
	readonly type: 'apply-routing';
	readonly version: number;
	/** Configuration as submitted, in the format of the interface that received it. */
	readonly source: string;
}

/**
Replaces the routing configuration by one that is described by its difference to an earlier one, as `ApplyRouting` does
with the whole text. Command version 2.
*/
export interface ChangeRouting {
	readonly type: 'change-routing';
	readonly version: number;
	/** Revision of the configuration from which the difference was computed; 0 for an empty text. */
	readonly base: number;
	/** `TextDifference` in JSON, encoded by the codec of the control state. */
	readonly difference: string;
	/** `hashString` of the configuration as submitted. */
	readonly checksum: number;
}

/** Starts a roll-out, which moves the traffic of a service to the backend servers of a release. */
export interface StartServiceRollout {
	readonly type: 'start-service-rollout';
	readonly service: string;
	readonly target: string;
	readonly durationMs: number;
	/** Start time at the leader in Unix milliseconds. */
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
	/** Whether sessions on the old release stay on it. */
	readonly holdsSessions: boolean;
	/** Human-readable reason for the step. */
	readonly reason: string;
}

/** Orders that backend servers of an availability zone get no requests, or withdraws the order. Command version 3. */
export interface ChangeEvacuation {
	readonly type: 'evacuate-zone' | 'end-evacuation';
	readonly zone: string;
	/** Revision of the zone's last order that the receiving host had applied, 0 for none. A later order to the contrary keeps its effect. */
	readonly base: number;
	/** Time at the leader in Unix milliseconds, for display. */
	readonly at: number;
}

/** A process of a backend server that the control state marks as cold since a revision. */
export interface ColdServer {
	readonly id: string;
	readonly incarnation: number;
	readonly coldSince: number;
}

/** Takes back the marks of cold backend servers. Command version 3. */
export interface ServersWarm {
	readonly type: 'servers-warm';
	readonly servers: readonly ColdServer[];
}

/** Allocates the next fencing number, which is the index of this command. */
export interface NextFencing {
	readonly type: 'next-fencing';
	/** Host of the new leader; informational only. */
	readonly leader: string;
}

/** Commands of the control log. */
export type ControlCommand = SubmitDocument | RemoveDocument | WithdrawVersion | EntryJoined | EntryLeft | BackendJoined | BackendRemoved | Quarantine | QuarantinePart | QuarantineRequest | NextFencing | RolloutStep | BurnSums | ApplyRouting | ChangeRouting | StartServiceRollout | ServiceRolloutStep | ChangeEvacuation | ServersWarm;
