import {type LogEntry} from './log-entry.js';

/** Entries from the leader to another member; a heartbeat if there are none. */
export interface AppendRequest {
	readonly term: number;
	/** Identity of the leader. */
	readonly from: string;
	/** Identity of the receiver. */
	readonly to: string;
	readonly prevIndex: number;
	readonly prevTerm: number;
	readonly entries: readonly LogEntry[];
	readonly commitIndex: number;
	/** Index up to which the receiver has confirmed synced entries in this term. If its log is shorter, it has lost data. */
	readonly confirmedIndex: number;
	/** Version of commands that all members apply, as known to the leader; absent in requests of earlier software versions. */
	readonly commandVersion?: number;
}
