import {type DeferredMessage} from './deferred-message.js';
import {type Snapshot} from './snapshot.js';
import {type StorageBatch} from './storage-batch.js';

/** State to make durable, with the messages that depend on it. */
export interface SyncWork {
	/** Received snapshot; must be stored before the batch. */
	readonly snapshot?: Snapshot;
	readonly batch?: StorageBatch;
	/** Last entry of the log that is durable after the batch. */
	readonly last: {readonly index: number; readonly term: number};
	readonly deferred: readonly DeferredMessage[];
}
