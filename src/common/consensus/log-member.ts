import {type AppError} from '../base/app-error.js';
import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {MembershipChanges} from './membership-changes.js';
import {Applier} from './applier.js';
import {type AppliedEntry} from './applied-entry.js';
import {Compaction} from './compaction.js';
import {consensusMethods} from './consensus-methods.js';
import {GroupJoiner} from './group-joiner.js';
import {type GroupStatus} from './group-status.js';
import {MemberDriver} from './member-driver.js';
import {newIdentity} from './member-identity.js';
import {type Member} from './member.js';
import {type MemberOptions} from './member-options.js';
import {PeerHandlers} from './peer-handlers.js';
import {PeerClient} from './peer-client.js';
import {Proposals} from './proposals.js';
import {type ReplicatedLog} from './replicated-log.js';
import {role, type Role} from './role.js';
import {SnapshotSender} from './snapshot-sender.js';
import {type StoredState} from './stored-state.js';

/** Running member of a replicated log. */
export class LogMember<Command, Result> implements ReplicatedLog<Command, Result>, Disposable {
	/**
	Loads the stored state and joins the group.

	@throws LogCorruptError if the log is damaged before its tail.
	@throws StorageFailedError if the disk fails.
	*/
	static async start<Command, Result>(options: MemberOptions<Command, Result>): Promise<LogMember<Command, Result>> {
		const {storage, transport, random, logger, group} = options;
		const stored = await storage.load();
		let {identity} = stored;
		if (!identity) {
			identity = newIdentity(transport.self, random);
			await storage.initialize(identity);
			logger.info({group, identity}, 'empty data folder: starting under a new identity');
		}

		return new LogMember(identity, options, stored);
	}

	private readonly _driver: MemberDriver;
	private readonly _applier: Applier<Command, Result>;
	private readonly _proposals: Proposals<Command, Result>;
	private readonly _compaction: Compaction<Command, Result>;
	private readonly _membershipChanges: MembershipChanges;
	private readonly _onRoleChange = new Emitter<Role>();
	private readonly _disposables = new DisposableStore();
	private _lastRole: Role;
	/** Time at which this leader lost its lease; undefined while it has one, or does not lead. */
	private _leaseLostAt: number | undefined;
	private _hadLease = false;

	private constructor(readonly identity: string, private readonly _options: MemberOptions<Command, Result>, stored: StoredState) {
		this._driver = new MemberDriver(identity, _options, stored);
		this._proposals = new Proposals(this._driver, () => this.leader);
		this._applier = new Applier(this._driver, _options, (entry, result) => {
			this._proposals.settle(entry, result);
		});
		this._compaction = new Compaction(this._driver, this._applier, _options, stored.snapshot?.index ?? 0);
		this._membershipChanges = new MembershipChanges(this._driver, _options.voterHosts, _options.isOpenGroup);
		this._lastRole = this.role;
		if (stored.snapshot) {
			this._applier.restore(stored.snapshot);
		}

		this._connect();
		this._driver.start();
		this._applier.apply();
	}

	get role(): Role {
		return this._driver.core.state.role;
	}

	get term(): number {
		return this._driver.core.state.term;
	}

	get leader(): string | undefined {
		const {leaderId, log} = this._driver.core.state;
		return log.members.find(member => member.id === leaderId)?.host;
	}

	get appliedIndex(): number {
		return this._applier.appliedIndex;
	}

	get commitIndex(): number {
		return this._driver.core.state.commitIndex;
	}

	get commandVersion(): number {
		return this._driver.core.leader?.replication.commandVersion ?? 1;
	}

	get repliedCommandVersion(): number {
		return this._driver.core.leader?.replication.repliedCommandVersion ?? 1;
	}

	/** State of this member for display; on the leader also the lag of all members. */
	get status(): GroupStatus {
		const {state, leader} = this._driver.core;
		return {
			group: this._options.group,
			identity: this.identity,
			role: this.role,
			term: this.term,
			leader: this.leader,
			hasLease: this.hasLease(),
			commitIndex: this.commitIndex,
			appliedIndex: this.appliedIndex,
			members: state.log.members.map(member => ({...member, lag: member.id === state.self ? state.commitIndex - state.syncedIndex : leader?.lagOf(member.id)})),
		};
	}

	/** Members according to the latest membership change, committed or not. */
	get members(): readonly Member[] {
		return this._driver.core.state.log.members;
	}

	/** Whether the latest membership change is committed. */
	get isMembershipCommitted(): boolean {
		const {log, commitIndex} = this._driver.core.state;
		return log.membersIndex <= commitIndex;
	}

	get onRoleChange(): Event<Role> {
		return this._onRoleChange.event;
	}

	get onApplied(): Event<AppliedEntry<Command>> {
		return this._applier.onApplied;
	}

	/** Fires when the member has stopped because of a fatal error; the process must end. */
	get onFatal(): Event<AppError> {
		return this._driver.onFatal;
	}

	async propose(command: Command): Promise<Result> {
		return this._proposals.propose(command);
	}

	hasLease(): boolean {
		const {leader} = this._driver.core;
		// Until the entry that starts the term is applied, the state may lack writes acknowledged by earlier leaders.
		return !this._driver.isStopped && leader !== undefined && this.appliedIndex >= leader.startIndex && leader.hasLease(this._options.clock.now());
	}

	entriesAfter(index: number, limit: number): ReadonlyArray<AppliedEntry<Command>> | undefined {
		const {log} = this._driver.core.state;
		if (index < log.baseIndex) {
			return undefined;
		}

		const entries = log.after(index, Math.max(0, Math.min(limit, this.appliedIndex - index)));
		return entries.map(({index: entryIndex, term, command}) => ({index: entryIndex, term, command: command as Command | undefined}));
	}

	/** Starts a leadership transfer to another voter, before a planned stop. Proposals are refused from now on. */
	transferLeadership(): void {
		this._driver.input((core, now) => {
			core.transfer(now);
		});
	}

	/**
	Removes a host from the group.
	@returns whether the change was appended; false if another change is uncommitted, or if this member does not lead or is transferring leadership.
	*/
	removeHost(host: string): boolean {
		let isAppended = false;
		this._driver.input((core, now) => {
			isAppended = core.changeMembers(this.members.filter(member => member.host !== host), now) !== undefined;
		});
		return isAppended;
	}

	/** Stops the member and waits for pending writes to its storage. */
	async close(): Promise<void> {
		this.dispose();
		await this._closeStorage();
	}

	/** Stops the member without waiting for its storage; synced data is kept. */
	dispose(): void {
		this._driver.dispose();
		this._handleRoleChange();
		this._disposables.dispose();
		this._proposals.failAll();
		void this._closeStorage();
	}

	/** What is synced is kept even if the files cannot be closed, which a faulty disk may refuse. */
	private async _closeStorage(): Promise<void> {
		const {storage, logger, group} = this._options;
		try {
			await storage.close();
		} catch (error) {
			logger.warn({group, err: error}, 'storage cannot be closed');
		}
	}

	private _connect(): void {
		const {group, transport, storage} = this._options;
		const methods = consensusMethods(group);
		const client = new PeerClient(this._driver, transport, methods, new SnapshotSender(this._driver, transport, storage, methods.snapshot));
		const joiner = new GroupJoiner(this._driver, this._options, methods, this._membershipChanges);
		this._disposables.add(this._applier);
		this._disposables.add(joiner);
		this._disposables.add(new PeerHandlers(this._driver, transport, methods));
		this._disposables.add(this._driver.onSend(call => {
			void client.send(call);
		}));
		this._disposables.add(this._driver.onSnapshotStored(snapshot => {
			this._applier.restore(snapshot);
			this._compaction.recordSnapshot(snapshot);
		}));
		this._disposables.add(this._driver.onInputProcessed(() => {
			this._afterInput();
		}));
		this._disposables.add(this._driver.onFatal(error => {
			this._options.logger.error({group, code: error.code, err: error.message}, 'member stopped');
			this.dispose();
		}));
		joiner.start();
	}

	/** Applies, compacts and updates the membership after each input of the core. */
	private _afterInput(): void {
		this._applier.apply();
		this._compaction.compactIfDue();
		this._membershipChanges.advance(this._options.clock.now());
		this._handleRoleChange();
		this._handleLeaseChange();
	}

	private _handleLeaseChange(): void {
		const {clock, logger, group} = this._options;
		const hasLease = this.hasLease();
		if (hasLease === this._hadLease) {
			return;
		}

		this._hadLease = hasLease;
		const now = clock.now();
		if (hasLease) {
			logger.info({group, term: this.term, withoutMs: this._leaseLostAt === undefined ? undefined : Math.round(now - this._leaseLostAt)}, 'leader lease gained');
			this._leaseLostAt = undefined;
		} else {
			this._leaseLostAt = this.role === role.leader ? now : undefined;
			logger.warn({group, term: this.term, role: this.role}, 'leader lease lost');
		}
	}

	private _handleRoleChange(): void {
		if (this.role !== role.leader) {
			this._proposals.failAll();
		}

		if (this.role !== this._lastRole) {
			const {group, logger, counters} = this._options;
			this._lastRole = this.role;
			counters.increment('consensus.role-changes', 1, {group, role: this.role});
			logger.info({group, role: this.role, term: this.term}, 'role changed');
			this._onRoleChange.fire(this.role);
		}
	}
}
