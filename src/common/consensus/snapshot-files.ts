import {type Disk} from './disk.js';
import {decodeFrame, encodeFrame} from './frame.js';
import {type Snapshot} from './snapshot.js';
import {LogCorruptError} from './storage-errors.js';

const prefix = 'snapshot-';
const temporarySuffix = '.tmp';
const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
Snapshot files in one folder. Each has two frames: metadata (index, term and members) and state. Operations follow each other,
because a member may take a snapshot while it receives one from the leader or sends one.
*/
export class SnapshotFiles {
	/** The operation that was requested last. */
	private _latest: Promise<unknown> = Promise.resolve();

	constructor(private readonly _disk: Disk) {}

	/** Stores a snapshot; removes earlier ones once it is durable under its final name. */
	async save(snapshot: Snapshot): Promise<void> {
		return this._afterOthers(async () => this._save(snapshot));
	}

	/** Reads the latest snapshot. @throws LogCorruptError if it is damaged. */
	async read(): Promise<Snapshot | undefined> {
		return this._afterOthers(async () => this._read());
	}

	/** Removes temporary files that an earlier process left unfinished. */
	async removeTemporary(): Promise<void> {
		const names = await this._names();
		await Promise.all(names.filter(file => file.endsWith(temporarySuffix)).map(async file => this._disk.remove(file)));
	}

	private async _afterOthers<T>(operation: () => Promise<T>): Promise<T> {
		const others = this._latest;
		const running = (async () => {
			await others;
			return operation();
		})();
		// The caller gets the error; the next operation runs in any case.
		this._latest = running.catch(() => undefined).then(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- the outcome is awaited by the caller
		return running;
	}

	private async _save(snapshot: Snapshot): Promise<void> {
		const {state, ...head} = snapshot;
		const name = `${prefix}${String(snapshot.index).padStart(15, '0')}`;
		const temporary = `${name}${temporarySuffix}`;
		const file = await this._disk.open(temporary);
		await file.truncate(0);
		await file.append(encodeFrame(1, encoder.encode(JSON.stringify(head))));
		await file.append(encodeFrame(2, encoder.encode(state)));
		await file.sync();
		await file.close();
		await this._disk.rename(temporary, name);
		await this._disk.syncFolder();
		await this._removeEarlier(name);
	}

	private async _read(): Promise<Snapshot | undefined> {
		const names = await this._names();
		const name = names.findLast(file => !file.endsWith(temporarySuffix));
		if (!name) {
			return undefined;
		}

		const bytes = await this._disk.read(name);
		const head = decodeFrame(bytes, 0);
		const state = head && decodeFrame(bytes, head.end);
		if (!state) {
			throw new LogCorruptError(`${name} is damaged; repair the host from the others under a new identity`);
		}

		return {...JSON.parse(decoder.decode(head.payload)) as Omit<Snapshot, 'state'>, state: decoder.decode(state.payload)};
	}

	private async _removeEarlier(kept: string): Promise<void> {
		const names = await this._names();
		await Promise.all(names.filter(file => file < kept).map(async file => this._disk.remove(file)));
	}

	private async _names(): Promise<string[]> {
		const files = await this._disk.list();
		return files.filter(file => file.startsWith(prefix)).sort();
	}
}
