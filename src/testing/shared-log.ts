import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';
import {type AppliedEntry} from '../common/consensus/applied-entry.js';
import {NotLeaderError, ProposalUnknownError} from '../common/consensus/consensus-errors.js';
import {type ReplicatedLog} from '../common/consensus/replicated-log.js';
import {role, type Role} from '../common/consensus/role.js';
import {type StateMachine} from '../common/consensus/state-machine.js';

/** One log with a view for each voter. The test chooses the leader; committed entries are never lost. */
export class SharedLog<Command, Result> {
	/** Entries below this index are compacted into a snapshot. */
	firstIndex = 1;
	readonly entries: Array<AppliedEntry<Command>> = [];
	term = 0;
	leader: string | undefined;
	/** Version of commands that all voters apply. */
	commandVersion = 1;
	private readonly _views = new Map<string, SharedLogView<Command, Result>>();

	/** Adds a voter with its state machine. */
	addView(host: string, machine: StateMachine<Command, Result>): SharedLogView<Command, Result> {
		const view = new SharedLogView(this, host, machine);
		this._views.set(host, view);
		return view;
	}

	/** Makes a voter the leader of the next term, or removes the leader. An isolated voter is not notified of the change. */
	elect(host: string | undefined): void {
		this.leader = host;
		if (host !== undefined) {
			this.term++;
			this.entries.push({index: this.entries.length + 1, term: this.term});
		}

		this.catchUp();
		for (const view of this._views.values()) {
			view.updateRole();
		}
	}

	append(command: Command): AppliedEntry<Command> {
		const entry = {index: this.entries.length + 1, term: this.term, command};
		this.entries.push(entry);
		return entry;
	}

	/** Applies the committed entries at all voters that are not isolated. */
	catchUp(): void {
		for (const view of this._views.values()) {
			view.catchUp();
		}
	}
}

/** One voter of a `SharedLog`. */
export class SharedLogView<Command, Result> implements ReplicatedLog<Command, Result> {
	role: Role = role.follower;
	term = 0;
	leader: string | undefined;
	private _isIsolated = false;
	private _applied = 0;
	private readonly _onRoleChange = new Emitter<Role>();
	private readonly _onApplied = new Emitter<AppliedEntry<Command>>();

	constructor(private readonly _log: SharedLog<Command, Result>, private readonly _self: string, private readonly _machine: StateMachine<Command, Result>) {}

	/** Isolates or reconnects the voter. An isolated voter keeps its role and state, but has no leader lease and commits nothing. */
	setIsolated(isIsolated: boolean): void {
		this._isIsolated = isIsolated;
		this.catchUp();
		this.updateRole();
	}

	get onRoleChange(): Event<Role> {
		return this._onRoleChange.event;
	}

	get onApplied(): Event<AppliedEntry<Command>> {
		return this._onApplied.event;
	}

	get appliedIndex(): number {
		return this._applied;
	}

	get commandVersion(): number {
		return this._log.commandVersion;
	}

	get repliedCommandVersion(): number {
		return this._log.commandVersion;
	}

	get commitIndex(): number {
		return this._applied;
	}

	async propose(command: Command): Promise<Result> {
		if (this.role !== role.leader) {
			throw new NotLeaderError(this.leader);
		}

		if (this._isIsolated) {
			throw new ProposalUnknownError();
		}

		const entry = this._log.append(command);
		// The leader applies each entry when it is appended, so all earlier entries are applied.
		this._applied = entry.index;
		const result = this._machine.apply(entry.index, command);
		this._onApplied.fire(entry);
		this._log.catchUp();
		return result;
	}

	hasLease(): boolean {
		return this.role === role.leader && !this._isIsolated && this._log.leader === this._self;
	}

	entriesAfter(index: number, limit: number): ReadonlyArray<AppliedEntry<Command>> | undefined {
		return index + 1 < this._log.firstIndex ? undefined : this._log.entries.slice(index, Math.min(index + limit, this._applied));
	}

	catchUp(): void {
		while (!this._isIsolated && this._applied < this._log.entries.length) {
			const entry = this._log.entries[this._applied]!;
			this._applied = entry.index;
			if (entry.command) {
				this._machine.apply(entry.index, entry.command);
			}

			this._onApplied.fire(entry);
		}
	}

	updateRole(): void {
		if (this._isIsolated) {
			return;
		}

		const next = this._log.leader === this._self ? role.leader : role.follower;
		const isChanged = next !== this.role || (next === role.leader && this.term !== this._log.term);
		this.leader = this._log.leader;
		this.term = this._log.term;
		this.role = next;
		if (isChanged) {
			this._onRoleChange.fire(next);
		}
	}
}
