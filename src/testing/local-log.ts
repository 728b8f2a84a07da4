import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';
import {type AppliedEntry} from '../common/consensus/applied-entry.js';
import {type ReplicatedLog} from '../common/consensus/replicated-log.js';
import {role, type Role} from '../common/consensus/role.js';
import {type StateMachine} from '../common/consensus/state-machine.js';

/** Log of a single member without storage; each command commits immediately. */
export class LocalLog<Command, Result> implements ReplicatedLog<Command, Result> {
	readonly role = role.leader as Role;
	readonly term = 1 as number;
	readonly leader: string;
	/** Whether the member holds the leader lease; a test may revoke it. */
	isLeased = true;
	/** Version of commands that all members apply; a test may change it. */
	groupCommandVersion = 1;

	private readonly _entries: Array<AppliedEntry<Command>> = [];
	private readonly _onRoleChange = new Emitter<Role>();
	private readonly _onApplied = new Emitter<AppliedEntry<Command>>();

	constructor(self: string, private readonly _machine: StateMachine<Command, Result>) {
		this.leader = self;
	}

	get onRoleChange(): Event<Role> {
		return this._onRoleChange.event;
	}

	get onApplied(): Event<AppliedEntry<Command>> {
		return this._onApplied.event;
	}

	get appliedIndex(): number {
		return this._entries.length;
	}

	get commandVersion(): number {
		return this.groupCommandVersion;
	}

	get repliedCommandVersion(): number {
		return this.groupCommandVersion;
	}

	get commitIndex(): number {
		return this._entries.length;
	}

	async propose(command: Command): Promise<Result> {
		const entry = {index: this._entries.length + 1, term: this.term, command};
		this._entries.push(entry);
		const result = this._machine.apply(entry.index, command);
		this._onApplied.fire(entry);
		return result;
	}

	hasLease(): boolean {
		return this.isLeased;
	}

	entriesAfter(index: number, limit: number): ReadonlyArray<AppliedEntry<Command>> {
		return this._entries.slice(index, index + limit);
	}
}
