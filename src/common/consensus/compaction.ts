import {type Applier} from './applier.js';
import {entrySize} from './entry-size.js';
import {type MemberDriver} from './member-driver.js';
import {type MemberOptions} from './member-options.js';
import {type Snapshot} from './snapshot.js';
import {StorageFailedError} from './storage-errors.js';

const defaultSnapshotInterval = 10_000;
const defaultRetainedEntries = 5000;
const defaultSnapshotSize = 16 * 1024 * 1024;
const defaultRetainedSize = 8 * 1024 * 1024;
/** Time in milliseconds spent on applying entries after which a snapshot is due. Small entries may be costly to apply, and a restart replays them. */
const maxReplayMs = 1000;

/** Takes snapshots and compacts the log, but retains the latest entries for followers that lag. */
export class Compaction<Command, Result> {
	private _isRunning = false;
	/** Size of the entries applied since the last snapshot, in characters of JSON. */
	private _appliedSize = 0;
	/** `applyMs` of the applier at the last snapshot. */
	private _snapshotApplyMs = 0;

	constructor(
		private readonly _driver: MemberDriver,
		private readonly _applier: Applier<Command, Result>,
		private readonly _options: MemberOptions<Command, Result>,
		private _snapshotIndex: number,
	) {
		_applier.onApplied(({index}) => {
			const entry = _driver.core.state.log.entryAt(index);
			this._appliedSize += entry ? entrySize(entry) : 0;
		});
	}

	/** Records a snapshot received from the leader. */
	recordSnapshot({index}: Snapshot): void {
		this._snapshotIndex = Math.max(this._snapshotIndex, index);
	}

	/** Takes a snapshot if enough entries have been applied since the last one, by number or by size. */
	compactIfDue(): void {
		const {snapshotInterval = defaultSnapshotInterval, snapshotSize = defaultSnapshotSize} = this._options;
		const isDue = this._applier.appliedIndex - this._snapshotIndex >= snapshotInterval || this._appliedSize >= snapshotSize || this._applier.applyMs - this._snapshotApplyMs >= maxReplayMs;
		if (isDue && !this._isRunning) {
			void this._run();
		}
	}

	/** Index up to which entries can be removed after a snapshot; later entries are retained. */
	private _compactionIndex(snapshotIndex: number): number {
		const {retainedEntries = defaultRetainedEntries, retainedSize = defaultRetainedSize} = this._options;
		const {log} = this._driver.core.state;
		let size = 0;
		for (let index = snapshotIndex; index > Math.max(log.baseIndex, snapshotIndex - retainedEntries); index--) {
			size += entrySize(log.entryAt(index)!);
			if (size > retainedSize) {
				return index;
			}
		}

		return snapshotIndex - retainedEntries;
	}

	private async _run(): Promise<void> {
		this._isRunning = true;
		const {storage, machine} = this._options;
		const {log} = this._driver.core.state;
		const index = this._applier.appliedIndex;
		const snapshot = {
			index, term: log.termAt(index)!, members: log.membersAt(index), state: JSON.stringify(machine.snapshot()),
		};
		this._snapshotIndex = index;
		this._appliedSize = 0;
		this._snapshotApplyMs = this._applier.applyMs;
		try {
			await storage.saveSnapshot(snapshot);
			if (!this._driver.isStopped) {
				// A snapshot received in the meantime may have replaced the entries, so the index is limited to the end of the log.
				const compactionIndex = this._compactionIndex(Math.min(index, log.lastIndex));
				log.compactTo(compactionIndex);
				await storage.discardUpTo(compactionIndex);
			}
		} catch (error) {
			this._driver.fail(error instanceof StorageFailedError ? error : new StorageFailedError((error as Error).message, {cause: error}));
		} finally {
			this._isRunning = false;
		}
	}
}
