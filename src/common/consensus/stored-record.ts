import {type LogEntry} from './log-entry.js';

/** JSON payload of a log frame. The first record of each segment repeats the identity, group, term, vote and commit index. */
export interface StoredRecord {
	readonly identity?: string;
	readonly groupId?: string;
	readonly term: number;
	readonly vote?: string;
	readonly commitIndex: number;
	readonly reset?: {readonly index: number; readonly term: number};
	readonly entries?: readonly LogEntry[];
}
