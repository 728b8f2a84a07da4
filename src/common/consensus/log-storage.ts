import {type Snapshot} from './snapshot.js';
import {type StorageBatch} from './storage-batch.js';
import {type StoredState} from './stored-state.js';

/** Durable storage of one member. After a failed write or sync, the storage refuses all operations; it never retries. */
export interface LogStorage {
	/**
	Reads the stored state and truncates a torn tail.

	@throws LogCorruptError if the log is damaged before its tail, or if the snapshot is damaged.
	*/
	load(): Promise<StoredState>;
	/** Stores the identity in an empty folder. Resolves when synced. */
	initialize(identity: string): Promise<void>;
	/** Appends a batch and syncs once. Calls must not overlap. */
	write(batch: StorageBatch): Promise<void>;
	/** Stores a snapshot. May overlap with `write`. Resolves when synced. */
	saveSnapshot(snapshot: Snapshot): Promise<void>;
	/** The latest stored snapshot. */
	readSnapshot(): Promise<Snapshot | undefined>;
	/** Discards segments that hold only entries up to the index. A stored snapshot must cover these entries. */
	discardUpTo(index: number): Promise<void>;
	/** Refuses further operations and waits for pending ones. */
	close(): Promise<void>;
}
