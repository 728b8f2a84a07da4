import {type AppliedEntry} from '../consensus/applied-entry.js';
import {type ControlCommand} from './control-command.js';

/** Lease renewal sent by a daemon. */
export interface RenewRequest {
	readonly host: string;
	readonly incarnation: number;
	/** Index up to which the daemon has applied the log. */
	readonly applied: number;
	/** Maximum time in milliseconds for which the leader may hold the reply. */
	readonly holdMs: number;
	/** Parts by section name. */
	readonly parts: Readonly<Record<string, unknown>>;
}

/** Why a daemon gets no lease, regardless of what it has applied. */
export interface RenewRefusal {
	/** `not-joined`: the directory does not list it; `expired`: its incarnation has expired; `superseded`: a later process runs under its name. */
	readonly code: 'not-joined' | 'expired' | 'superseded';
	/** Highest incarnation that the directory knows. */
	readonly incarnation: number;
}

/** Snapshot of the control state up to an index of the log. */
export interface ControlSnapshot {
	readonly index: number;
	readonly state: unknown;
}

/** Reply of the leader to a renewal. */
export interface RenewReply {
	readonly term: number;
	/** Whether the leader grants a lease. It is valid only if the daemon has applied `commitIndex`. */
	readonly granted: boolean;
	/** Duration of the lease in milliseconds, counted from the time at which the renewal was sent. */
	readonly leaseMs: number;
	readonly refusal?: RenewRefusal;
	readonly entries: ReadonlyArray<AppliedEntry<ControlCommand>>;
	readonly snapshot?: ControlSnapshot;
	readonly commitIndex: number;
	readonly parts: Readonly<Record<string, unknown>>;
}
