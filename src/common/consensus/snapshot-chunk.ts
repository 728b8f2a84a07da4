import {type Snapshot} from './snapshot.js';

/** Part of a snapshot sent from the leader to another member. */
export interface SnapshotChunk {
	readonly term: number;
	/** Identity of the leader. */
	readonly from: string;
	/** Identity of the receiver. */
	readonly to: string;
	readonly head: Omit<Snapshot, 'state'>;
	/** Offset of the part within the snapshot's `state`, in characters. */
	readonly offset: number;
	readonly part: string;
	readonly isLast: boolean;
}
