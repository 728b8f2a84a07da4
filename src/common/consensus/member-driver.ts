import {type AppError} from '../base/app-error.js';
import {type Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {ConsensusCore} from './consensus-core.js';
import {MajorityRule} from './majority-rule.js';
import {type MemberOptions} from './member-options.js';
import {type OutgoingRequest} from './outgoing-request.js';
import {type Snapshot} from './snapshot.js';
import {type StorageBatch} from './storage-batch.js';
import {StorageFailedError} from './storage-errors.js';
import {type StoredState} from './stored-state.js';
import {type SyncWork} from './sync-work.js';

type DriverOptions = Pick<MemberOptions<never, unknown>, 'group' | 'clock' | 'startedAt' | 'random' | 'storage' | 'rule' | 'counters' | 'commandVersion' | 'appendIntervalMs'>;

/** Runs the core of one member: passes it inputs and timer ticks, syncs its state to disk, and emits the requests to send. */
export class MemberDriver implements Disposable {
	readonly core: ConsensusCore;
	/** Group of this member; undefined until the group is created or admits the member. Stored with the next sync. */
	groupId: string | undefined;
	private readonly _onSend = new Emitter<OutgoingRequest>();
	private readonly _onInputProcessed = new Emitter<void>();
	private readonly _onSnapshotStored = new Emitter<Snapshot>();
	private readonly _onFatal = new Emitter<AppError>();
	private _ticker: Disposable | undefined;
	private _armedFor = Infinity;
	private _isSyncing = false;
	private _isStopped = false;

	constructor(readonly self: string, private readonly _options: DriverOptions, stored: StoredState) {
		const {
			rule = new MajorityRule(), random, clock, startedAt, commandVersion, appendIntervalMs,
		} = _options;
		this.groupId = stored.groupId;
		this.core = new ConsensusCore({
			self, rule, random: random.fork(self), startedAt, commandVersion, appendIntervalMs,
		}, stored, clock.now());
	}

	/** Fires for each request to send. */
	get onSend() {
		return this._onSend.event;
	}

	/** Fires after each input of the core. */
	get onInputProcessed() {
		return this._onInputProcessed.event;
	}

	/** Fires when a snapshot from the leader is durable. The listener must restore the state machine before it returns. */
	get onSnapshotStored() {
		return this._onSnapshotStored.event;
	}

	/** Fires when the member has stopped because of a fatal error; the process must end. */
	get onFatal() {
		return this._onFatal.event;
	}

	get isStopped(): boolean {
		return this._isStopped;
	}

	/** Starts the timer. */
	start(): void {
		this._arm();
	}

	/** Passes an input to the core, then sends the resulting requests, starts a sync and updates the timer. */
	input(change: (core: ConsensusCore, now: number) => void): void {
		if (this._isStopped) {
			return;
		}

		change(this.core, this._options.clock.now());
		if (this.core.state.fatalError) {
			this.fail(this.core.state.fatalError);
			return;
		}

		this.core.flush();
		for (const outgoing of this.core.state.takeRequests()) {
			this._onSend.fire(outgoing);
		}

		if (!this._isSyncing) {
			void this._sync();
		}

		if (this.core.nextDeadline < this._armedFor) {
			this._arm();
		}

		this._onInputProcessed.fire();
	}

	/** Stops the member because of a fatal error. */
	fail(error: AppError): void {
		if (!this._isStopped) {
			this.dispose();
			this._onFatal.fire(error);
		}
	}

	dispose(): void {
		this._isStopped = true;
		this.core.state.becomeFollower(undefined);
		this._ticker?.dispose();
	}

	/** Sets the timer for the next deadline. If the deadline is postponed, the timer fires early and is set again. */
	private _arm(): void {
		this._ticker?.dispose();
		if (this._isStopped) {
			return;
		}

		const now = this._options.clock.now();
		this._armedFor = Math.max(now + 1, this.core.nextDeadline);
		this._ticker = this._options.clock.setTimer(this._armedFor - now, () => {
			this._armedFor = Infinity;
			this.input((core, time) => {
				core.tick(time);
			});
			this._arm();
		});
	}

	/** Syncs until there is no more work. Work that arrives during a sync is batched into the next one. */
	private async _sync(): Promise<void> {
		this._isSyncing = true;
		for (let work = this.core.state.takeSyncWork(); work && !this._isStopped; work = this.core.state.takeSyncWork()) {
			if (work.batch) {
				try {
					await this._persist(work); // eslint-disable-line no-await-in-loop -- syncs must not overlap
				} catch (error) {
					this.fail(error instanceof StorageFailedError ? error : new StorageFailedError((error as Error).message, {cause: error}));
				}
			}

			this._finish(work);
		}

		this._isSyncing = false;
	}

	private _finish(work: SyncWork): void {
		if (work.snapshot && !this._isStopped) {
			this._onSnapshotStored.fire(work.snapshot);
		}

		this.input((core, now) => {
			core.finishSync(work, now);
		});
	}

	private async _persist({snapshot, batch}: SyncWork): Promise<void> {
		if (snapshot) {
			await this._options.storage.saveSnapshot(snapshot);
		}

		await this._write({...batch!, groupId: this.groupId});
	}

	private async _write(batch: StorageBatch): Promise<void> {
		const {clock, counters, storage, group} = this._options;
		const startedAt = clock.now();
		await storage.write(batch);
		counters.timing('consensus.sync', clock.now() - startedAt, {group});
		counters.increment('consensus.synced-entries', batch.entries.length, {group});
	}
}
