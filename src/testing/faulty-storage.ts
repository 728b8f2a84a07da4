import {type StorageBatch} from '../common/consensus/storage-batch.js';
import {type LogStorage} from '../common/consensus/log-storage.js';

/** Storage mechanism that a test disables to show that a checker detects it. */
export type StorageFault = 'vote-not-stored' | 'acknowledged-before-sync' | 'identity-kept-after-disk-loss';

/** Wraps the storage of a host and disables one mechanism. `retained` must be kept across restarts of the host. */
export function faultyStorage(fault: StorageFault, storage: LogStorage, retained: {identity?: string; groupId?: string}): LogStorage {
	let delayedBatch: StorageBatch | undefined;
	return {
		async load() {
			const stored = await storage.load();
			return fault === 'identity-kept-after-disk-loss' && !stored.identity ? {...stored, ...retained} : stored;
		},
		async initialize(identity) {
			retained.identity ??= identity;
			await storage.initialize(identity);
		},
		async write(batch) {
			retained.groupId ??= batch.groupId;
			if (fault === 'acknowledged-before-sync') {
				// Each batch is written only when the next one arrives.
				[delayedBatch, batch] = [batch, delayedBatch ?? {...batch, entries: []}];
			}

			await storage.write(fault === 'vote-not-stored' ? {...batch, term: 1, vote: undefined} : batch);
		},
		saveSnapshot: async snapshot => storage.saveSnapshot(snapshot),
		readSnapshot: async () => storage.readSnapshot(),
		discardUpTo: async index => storage.discardUpTo(index),
		close: async () => storage.close(),
	};
}
