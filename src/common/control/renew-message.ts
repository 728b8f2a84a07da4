import {type AppliedEntry} from '../consensus/applied-entry.js';
import {type ControlCommand} from './control-command.js';

/** Lease renewal sent by a daemon. */
export interface RenewRequest {
	readonly host: string;
	readonly incarnation: number;
	/** Index up to which the daemon has applied the log. */
	readonly applied: number;
	/** Index up to which the daemon has received the log, if that is above `applied` because the content of a routing configuration is missing. */
	readonly received?: number | undefined;
	/**
	Revision of the routing configuration that the daemon acts by, 0 for none, if it gets configurations apart from the
	renewals. Absent in requests of daemons that need the text with the entries, among them those of earlier software versions.
	*/
	readonly routing?: number | undefined;
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

/** The newest routing configuration, without its content. */
export interface NewestRouting {
	readonly version: number;
	readonly revision: number;
	/** Time in milliseconds since the configuration that the daemon acts by was replaced; undefined when it acts by the newest one, or when the time is not known. */
	readonly replacedForMs?: number | undefined;
	/** Time in milliseconds for which the daemon may still act by that configuration, counted like the lease. */
	readonly leftMs?: number | undefined;
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
	/**
	Duration of the lease in milliseconds, counted from the time at which the renewal was sent, or from the end of `heldMs` after it. It is shorter for a daemon
	that still acts by a routing configuration that has been replaced.
	*/
	readonly leaseMs: number;
	/** Time in milliseconds for which the leader held the renewal, absent in replies of earlier software versions. The state of the reply is that at the end of this time. */
	readonly heldMs?: number | undefined;
	readonly refusal?: RenewRefusal;
	readonly entries: ReadonlyArray<AppliedEntry<ControlCommand>>;
	readonly snapshot?: ControlSnapshot;
	readonly commitIndex: number;
	/** The newest routing configuration, for a daemon that gets its content apart from the renewals. */
	readonly routing?: NewestRouting | undefined;
	readonly parts: Readonly<Record<string, unknown>>;
}
