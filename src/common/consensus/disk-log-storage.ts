import {type Disk} from './disk.js';
import {type DiskFile} from './disk-file.js';
import {encodeFrame} from './frame.js';
import {type LogStorage} from './log-storage.js';
import {RecordReplay} from './record-replay.js';
import {
	archiveName, lastIndexOf, readSegment, segmentName, segmentNames, type Segment, type SegmentContents,
} from './segment.js';
import {SnapshotFiles} from './snapshot-files.js';
import {type Snapshot} from './snapshot.js';
import {type StorageBatch} from './storage-batch.js';
import {LogCorruptError, StorageFailedError} from './storage-errors.js';
import {type StoredRecord} from './stored-record.js';
import {type StoredState} from './stored-state.js';

/** Size in bytes at which a new segment is started. Bounds the data left on disk after a snapshot. */
const defaultSegmentSize = 8 * 1024 * 1024;

const encoder = new TextEncoder();

/** Options of a `DiskLogStorage`. */
export interface DiskLogOptions {
	/** Size in bytes at which a new segment is started; 8 MiB by default. */
	readonly segmentSize?: number;
	/** Renames segments that are no longer needed to archive files, instead of removing them. */
	readonly isArchiving?: boolean;
}

/** Storage of a member in one folder: log segments and a snapshot. Each batch is written as one frame with one sync. */
export class DiskLogStorage implements LogStorage {
	private readonly _snapshots: SnapshotFiles;
	private readonly _segments: Segment[] = [];
	private _file: DiskFile | undefined;
	private _size = 0;
	private _nextSequence = 1;
	/** Latest identity, group, term, vote and commit index; repeated at the start of each segment. */
	private _hardState: StoredRecord = {term: 0, commitIndex: 0};
	/** Reset to write with the next batch, if the loaded log does not reach the snapshot. */
	private _pendingReset: StoredRecord['reset'];
	private _failure: StorageFailedError | undefined;
	private readonly _pendingOperations = new Set<Promise<unknown>>();

	constructor(private readonly _disk: Disk, private readonly _options: DiskLogOptions = {}) {
		this._snapshots = new SnapshotFiles(_disk);
	}

	async load(): Promise<StoredState> {
		return this._guard(async () => {
			await this._snapshots.removeTemporary();
			const snapshot = await this._snapshots.read();
			const replay = new RecordReplay();
			for (const {records} of await this._readSegments(snapshot)) {
				for (const record of records) {
					replay.add(record);
				}
			}

			const {state, mustReset} = replay.finish(snapshot);
			const {identity, groupId, term, vote, commitIndex} = state;
			this._hardState = {
				identity, groupId, term, vote, commitIndex,
			};
			this._pendingReset = mustReset ? state.base : undefined;
			return state;
		});
	}

	async initialize(identity: string): Promise<void> {
		return this._guard(async () => {
			this._hardState = {...this._hardState, identity};
			await this._startSegment();
		});
	}

	async write(batch: StorageBatch): Promise<void> {
		return this._guard(async () => {
			const {term, vote, commitIndex, entries} = batch;
			const groupId = batch.groupId === this._hardState.groupId ? undefined : batch.groupId;
			const reset = batch.reset ?? this._pendingReset;
			this._pendingReset = undefined;
			this._hardState = {
				identity: this._hardState.identity, groupId: batch.groupId ?? this._hardState.groupId, term, vote, commitIndex,
			};
			await this._writeRecord({
				groupId, term, vote, commitIndex, reset, entries,
			});
		});
	}

	async saveSnapshot(snapshot: Snapshot): Promise<void> {
		return this._guard(async () => this._snapshots.save(snapshot));
	}

	async readSnapshot(): Promise<Snapshot | undefined> {
		return this._snapshots.read();
	}

	async discardUpTo(index: number): Promise<void> {
		return this._guard(async () => {
			while (this._segments.length > 1 && this._segments[0]!.lastIndex <= index) {
				const {name} = this._segments.shift()!;
				// eslint-disable-next-line no-await-in-loop -- segments are removed in order, so that a crash leaves no gap between them
				await (this._options.isArchiving ? this._disk.rename(name, archiveName(name)) : this._disk.remove(name));
				// eslint-disable-next-line no-await-in-loop -- as above
				await this._disk.syncFolder();
			}
		});
	}

	async close(): Promise<void> {
		this._failure ??= new StorageFailedError('the storage is closed');
		await Promise.allSettled(this._pendingOperations);
		await this._file?.close();
		this._file = undefined;
	}

	/** Runs an operation. After a failure every operation is refused, because it is unknown what is durable. */
	private async _guard<T>(operation: () => Promise<T>): Promise<T> {
		if (this._failure) {
			throw this._failure;
		}

		const running = operation();
		this._pendingOperations.add(running);
		try {
			return await running;
		} catch (error) {
			if (error instanceof LogCorruptError) {
				throw error;
			}

			this._failure = new StorageFailedError(`writing the log failed: ${(error as Error).message}`, {cause: error});
			throw this._failure;
		} finally {
			this._pendingOperations.delete(running);
		}
	}

	private async _writeRecord(record: StoredRecord): Promise<void> {
		if (!this._file || this._size >= (this._options.segmentSize ?? defaultSegmentSize)) {
			await this._startSegment();
		}

		await this._append(record);
	}

	/** Appends a frame and syncs it. At most one frame is unsynced at any time, so only the last one can be torn. */
	private async _append(record: StoredRecord): Promise<void> {
		const bytes = encodeFrame(this._nextSequence, encoder.encode(JSON.stringify(record)));
		this._nextSequence++;
		this._size += bytes.length;
		const segment = this._segments.at(-1)!;
		segment.lastIndex = Math.max(segment.lastIndex, lastIndexOf(record));
		await this._file!.append(bytes);
		await this._file!.sync();
	}

	private async _startSegment(): Promise<void> {
		await this._file?.close();
		const name = segmentName(this._nextSequence);
		this._file = await this._disk.open(name);
		this._segments.push({name, lastIndex: 0});
		this._size = 0;
		await this._append(this._hardState);
		await this._disk.syncFolder();
	}

	private async _readSegments(snapshot: Snapshot | undefined): Promise<SegmentContents[]> {
		const names = segmentNames(await this._disk.list());
		const contents: SegmentContents[] = [];
		for (const [position, name] of names.entries()) {
			// eslint-disable-next-line no-await-in-loop -- one segment in memory at a time
			const segment = readSegment(name, await this._disk.read(name));
			this._checkOrder(contents.at(-1), segment, name);
			if (segment.isTorn && position < names.length - 1) {
				throw new LogCorruptError(`${name}: damaged at offset ${segment.length}, but it is not the last file; repair the host from the others under a new identity`);
			}

			contents.push(segment);
			this._segments.push({name, lastIndex: Math.max(0, ...segment.records.map(record => lastIndexOf(record)))});
		}

		await this._openTail(contents);
		if (snapshot && contents.length === 0) {
			throw new LogCorruptError('there is a snapshot but no log; repair the host from the others under a new identity');
		}

		if (!snapshot && contents.length > 0 && contents[0]!.firstSequence !== 1) {
			throw new LogCorruptError('the start of the log and the snapshot are missing; repair the host from the others under a new identity');
		}

		return contents;
	}

	private _checkOrder(previous: SegmentContents | undefined, segment: SegmentContents, name: string): void {
		if (previous && segment.firstSequence !== previous.lastSequence + 1) {
			throw new LogCorruptError(`${name} does not follow frame ${previous.lastSequence}; repair the host from the others under a new identity`);
		}
	}

	/** Truncates a torn tail and opens the last segment. Syncs it, because an earlier process may have written data without syncing. */
	private async _openTail(contents: SegmentContents[]): Promise<void> {
		const last = contents.at(-1);
		if (!last) {
			return;
		}

		const {name} = this._segments.at(-1)!;
		if (last.records.length === 0) {
			contents.pop();
			this._segments.pop();
			await this._disk.remove(name);
			await this._disk.syncFolder();
			await this._openTail(contents);
			return;
		}

		this._file = await this._disk.open(name);
		if (last.isTorn) {
			await this._file.truncate(last.length);
		}

		await this._file.sync();
		await this._disk.syncFolder();
		this._size = last.length;
		this._nextSequence = last.lastSequence + 1;
	}
}
