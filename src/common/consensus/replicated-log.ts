import {type Event} from '../base/event.js';
import {type AppliedEntry} from './applied-entry.js';
import {type Role} from './role.js';

/** Replicated log with its state machine, as accessed through one member. */
export interface ReplicatedLog<Command, Result> {
	readonly role: Role;
	readonly term: number;
	/** Host name of the leader, if known. */
	readonly leader: string | undefined;
	/** Index of the last applied entry. */
	readonly appliedIndex: number;
	readonly commitIndex: number;
	/** Highest version of commands that all members apply, as known to the leader; 1 on other members. */
	readonly commandVersion: number;
	/** The same for the members that have replied to this leader; those that are down are left out. 1 on other members. */
	readonly repliedCommandVersion: number;
	readonly onRoleChange: Event<Role>;
	readonly onApplied: Event<AppliedEntry<Command>>;
	/**
	Appends a command and resolves with its result once it is applied.

	@throws NotLeaderError if this member is not the leader or is transferring leadership; the command was not appended.
	@throws LogBusyError if too many proposals are pending; the command was not appended.
	@throws ProposalUnknownError if leadership was lost; the command may or may not be committed.
	*/
	propose(command: Command): Promise<Result>;
	/** Whether this member is the leader and a quorum has responded within its leader lease. */
	hasLease(): boolean;
	/** At most `limit` applied entries with an index above the given one; undefined if some of them were compacted. */
	entriesAfter(index: number, limit: number): ReadonlyArray<AppliedEntry<Command>> | undefined;
}
