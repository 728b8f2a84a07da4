import {type Clock} from '../common/base/clock.js';
import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';
import {type AppliedEntry} from '../common/consensus/applied-entry.js';
import {NotLeaderError, ProposalUnknownError} from '../common/consensus/consensus-errors.js';
import {type ReplicatedLog} from '../common/consensus/replicated-log.js';
import {role, type Role} from '../common/consensus/role.js';
import {type StateMachine} from '../common/consensus/state-machine.js';

type Proposal<Result> = {command: string; resolve: (result: Result) => void; reject: (error: Error) => void};

/** One log for several members whose leader is set by the test. Commits take a given time, and all members apply an entry at once. */
export class DelayedLog<Command, Result> {
	/** Time in milliseconds from a proposal to its commit. */
	commitMs = 3;
	private _leader: string | undefined;
	private _term = 0;
	private readonly _members = new Map<string, DelayedLogMember<Command, Result>>();
	private readonly _entries: Array<AppliedEntry<Command>> = [];
	private _pending: Array<Proposal<Result>> = [];

	constructor(private readonly _clock: Clock) {}

	get leader(): string | undefined {
		return this._leader;
	}

	get term(): number {
		return this._term;
	}

	get entries(): ReadonlyArray<AppliedEntry<Command>> {
		return this._entries;
	}

	/** Adds a member. Its state machine must be empty or restored to the current state. */
	join(host: string, machine: StateMachine<Command, Result>): ReplicatedLog<Command, Result> {
		const member = new DelayedLogMember(this, host, machine);
		this._members.set(host, member);
		return member;
	}

	/** Restores the state machine of a member from the snapshot of another member, as a repair does. */
	restore(host: string, source: string): void {
		const snapshot = JSON.stringify(this._members.get(source)!.machine.snapshot());
		this._members.get(host)!.machine.restore(JSON.parse(snapshot));
	}

	/**
	Starts a new term with the given leader, or without one. Of the proposals in flight, the first `commitCount` are
	committed and the others are lost; every proposer gets `ProposalUnknownError`.
	*/
	elect(leader: string | undefined, commitCount = 0): void {
		const pending = this._pending;
		this._pending = [];
		for (const [index, proposal] of pending.entries()) {
			proposal.reject(new ProposalUnknownError());
			if (index < commitCount) {
				this._commit(proposal.command);
			}
		}

		this._leader = leader;
		this._term++;
		for (const member of this._members.values()) {
			member.announceRole();
		}
	}

	/** Proposes a command as a member; only the leader may propose. */
	async propose(host: string, command: Command): Promise<Result> {
		if (host !== this._leader) {
			throw new NotLeaderError(this._leader);
		}

		return new Promise((resolve, reject) => {
			const proposal = {command: JSON.stringify(command), resolve, reject};
			this._pending.push(proposal);
			this._clock.setTimer(this.commitMs, () => {
				if (this._pending.includes(proposal)) {
					this._pending.splice(this._pending.indexOf(proposal), 1);
					resolve(this._commit(proposal.command)!);
				}
			});
		});
	}

	private _commit(command: string): Result | undefined {
		const index = this._entries.length + 1;
		this._entries.push({index, term: this._term, command: JSON.parse(command) as Command});
		let result: Result | undefined;
		for (const [host, member] of this._members) {
			const own = member.applyEntry({index, term: this._term, command: JSON.parse(command) as Command});
			result = host === this._leader ? own : result;
		}

		return result;
	}
}

/** A member of a `DelayedLog`. */
class DelayedLogMember<Command, Result> implements ReplicatedLog<Command, Result> {
	private readonly _onRoleChange = new Emitter<Role>();
	private readonly _onApplied = new Emitter<AppliedEntry<Command>>();

	constructor(private readonly _log: DelayedLog<Command, Result>, private readonly _host: string, readonly machine: StateMachine<Command, Result>) {}

	get role(): Role {
		return this._log.leader === this._host ? role.leader : role.follower;
	}

	get term(): number {
		return this._log.term;
	}

	get leader(): string | undefined {
		return this._log.leader;
	}

	get appliedIndex(): number {
		return this._log.entries.length;
	}

	get commandVersion(): number {
		return 1;
	}

	get repliedCommandVersion(): number {
		return this.commandVersion;
	}

	get commitIndex(): number {
		return this._log.entries.length;
	}

	get onRoleChange(): Event<Role> {
		return this._onRoleChange.event;
	}

	get onApplied(): Event<AppliedEntry<Command>> {
		return this._onApplied.event;
	}

	async propose(command: Command): Promise<Result> {
		return this._log.propose(this._host, command);
	}

	hasLease(): boolean {
		return this.role === role.leader;
	}

	entriesAfter(index: number, limit: number): ReadonlyArray<AppliedEntry<Command>> {
		return this._log.entries.slice(index, index + limit);
	}

	/** Notifies the listeners of the current role. */
	announceRole(): void {
		this._onRoleChange.fire(this.role);
	}

	/** Applies a committed entry. */
	applyEntry(entry: AppliedEntry<Command>): Result {
		const result = this.machine.apply(entry.index, entry.command!);
		this._onApplied.fire(entry);
		return result;
	}
}
