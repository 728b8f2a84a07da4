import {type HardState} from './hard-state.js';
import {type LogEntry} from './log-entry.js';

/** Batch of state and entries that one sync makes durable. */
export interface StorageBatch extends HardState {
	/** Commit index at the time of the batch. After a restart, entries up to it are applied at once. */
	readonly commitIndex: number;
	/** Group of the member, once known. */
	readonly groupId?: string;
	/** Set if an installed snapshot does not connect to the log: all earlier entries are discarded. */
	readonly reset?: {readonly index: number; readonly term: number};
	/** Entries to append; they overwrite stored entries from the first entry's index on. */
	readonly entries: readonly LogEntry[];
}
