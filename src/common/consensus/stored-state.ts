import {type LogEntry} from './log-entry.js';
import {type Snapshot} from './snapshot.js';
import {type HardState} from './hard-state.js';

/** State that a member reads from its disk when it starts. */
export interface StoredState extends HardState {
	/** Identity of the member; undefined if the folder is empty. */
	readonly identity?: string;
	/** Group of the member; undefined until the group is created or admits the member. */
	readonly groupId?: string;
	readonly commitIndex: number;
	readonly snapshot?: Snapshot;
	/** Index and term of the entry before the first of `entries`; both are 0 at the start of the log. */
	readonly base: {readonly index: number; readonly term: number};
	readonly entries: readonly LogEntry[];
}
