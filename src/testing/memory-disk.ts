import {type Clock} from '../common/base/clock.js';
import {type RandomSource} from '../common/base/random-source.js';
import {type Disk} from '../common/consensus/disk.js';
import {type DiskFile} from '../common/consensus/disk-file.js';

type Inode = {data: Uint8Array; synced: Uint8Array};

/** In-memory folder that loses unsynced data in a crash, tears writes and can stop at a chosen operation. */
export class MemoryDisk {
	/** Duration of a sync in milliseconds. */
	syncDelayMs = 0;
	/** Acknowledges syncs without making data durable; a test uses it to show that it detects lost data. */
	isSyncIgnored = false;
	/** Number of operations so far that changed the disk. */
	operations = 0;
	/** Number of file syncs so far. */
	syncs = 0;

	private _names = new Map<string, Inode>();
	private _durableNames = new Map<string, Inode>();
	private _crashAt = Infinity;
	private _onCrash: (() => void) | undefined;
	private _generation = 0;
	private _isSyncFailing = false;

	constructor(private readonly _clock: Clock, private readonly _random: RandomSource) {}

	/** Stops the disk during the n-th changing operation from now; that operation and all later ones never finish. */
	crashAfter(operations: number, onCrash: () => void): void {
		this._crashAt = this.operations + operations;
		this._onCrash = onCrash;
	}

	/** Makes the next sync fail. */
	failSync(): void {
		this._isSyncFailing = true;
	}

	/** Simulates a power loss: unsynced contents and names are lost or kept at random, and the last write may be torn. */
	crash(): void {
		this._generation++;
		this._crashAt = Infinity;
		const names = new Map<string, Inode>();
		for (const name of new Set([...this._names.keys(), ...this._durableNames.keys()])) {
			const inode = (this._random.next() < 0.5 && !this.isSyncIgnored ? this._names : this._durableNames).get(name);
			if (inode) {
				names.set(name, inode);
			}
		}

		for (const inode of new Set(names.values())) {
			inode.data = this._contentsAfterPowerLoss(inode);
			inode.synced = inode.data;
		}

		this._names = names;
		this._durableNames = new Map(names);
	}

	/** Simulates the loss of the disk: deletes all files. */
	wipe(): void {
		this._generation++;
		this._names = new Map();
		this._durableNames = new Map();
	}

	/** Copies all files. */
	image(): Map<string, Uint8Array> {
		return new Map([...this._names].map(([name, {data}]) => [name, new Uint8Array(data)]));
	}

	/** Replaces all files with an earlier copy. */
	restoreImage(image: ReadonlyMap<string, Uint8Array>): void {
		this.wipe();
		for (const [name, data] of image) {
			const inode = {data: new Uint8Array(data), synced: new Uint8Array(data)};
			this._names.set(name, inode);
			this._durableNames.set(name, inode);
		}
	}

	/** Inverts one byte of a file; a negative offset counts from the end. */
	damage(name: string, offset: number): void {
		const inode = this._names.get(name)!;
		inode.data = new Uint8Array(inode.data);
		const position = offset < 0 ? inode.data.length + offset : offset;
		inode.data[position] = 255 - inode.data[position]!;
		inode.synced = inode.data;
	}

	/** Opens the folder for one process; after a crash or loss of the disk its operations never finish. */
	attach(): Disk {
		const generation = this._generation;
		return {
			list: async () => {
				await this._checkAttached(generation);
				return [...this._names.keys()];
			},
			read: async name => {
				await this._checkAttached(generation);
				return new Uint8Array(this._inode(name).data);
			},
			open: async name => this._open(generation, name),
			rename: async (from, to) => {
				await this._change(generation);
				this._names.set(to, this._inode(from));
				this._names.delete(from);
			},
			remove: async name => {
				await this._change(generation);
				this._names.delete(name);
			},
			syncFolder: async () => {
				await this._change(generation);
				if (!this.isSyncIgnored) {
					this._durableNames = new Map(this._names);
				}
			},
		};
	}

	private async _open(generation: number, name: string): Promise<DiskFile> {
		if (!this._names.has(name)) {
			await this._change(generation);
			this._names.set(name, {data: new Uint8Array(), synced: new Uint8Array()});
		}

		const inode = this._inode(name);
		return {
			append: async bytes => {
				const data = new Uint8Array(inode.data.length + bytes.length);
				data.set(inode.data);
				data.set(bytes, inode.data.length);
				await this._change(generation, () => {
					inode.data = data;
				});
			},
			truncate: async length => {
				await this._change(generation);
				inode.data = inode.data.slice(0, length);
			},
			sync: async () => this._sync(generation, inode),
			close: async () => undefined,
		};
	}

	private async _sync(generation: number, inode: Inode): Promise<void> {
		if (this._isSyncFailing) {
			this._isSyncFailing = false;
			throw new Error('input/output error');
		}

		const {data} = inode;
		await this._change(generation);
		if (this.syncDelayMs > 0) {
			await new Promise<void>(resolve => {
				this._clock.setTimer(this.syncDelayMs, resolve);
			});
			await this._checkAttached(generation);
		}

		this.syncs++;
		if (!this.isSyncIgnored) {
			inode.synced = data;
		}
	}

	/** Counts a changing operation. At the operation at which the disk stops, `effect` is applied, but the call never finishes. */
	private async _change(generation: number, effect?: () => void): Promise<void> {
		await this._checkAttached(generation);
		this.operations++;
		effect?.();
		if (this.operations >= this._crashAt) {
			const onCrash = this._onCrash;
			this._crashAt = -Infinity;
			this._onCrash = undefined;
			onCrash?.();
			await this._hang();
		}
	}

	private async _checkAttached(generation: number): Promise<void> {
		if (generation !== this._generation || this._crashAt === -Infinity) {
			await this._hang();
		}
	}

	private async _hang(): Promise<never> {
		return new Promise(() => {
			// A process that has lost its disk never continues.
		});
	}

	/** Contents after a power loss: the synced part and a random prefix of the rest, which may contain a hole of zeros. */
	private _contentsAfterPowerLoss({data, synced}: Inode): Uint8Array {
		if (data === synced || this.isSyncIgnored || data.length < synced.length) {
			return this._random.next() < 0.5 && !this.isSyncIgnored ? data : synced;
		}

		const length = synced.length + this._random.integer(data.length - synced.length + 1);
		const torn = data.slice(0, length);
		if (this._random.next() < 0.3 && length > synced.length) {
			const hole = synced.length + this._random.integer(length - synced.length);
			torn.fill(0, hole, hole + 512);
		}

		return torn;
	}

	private _inode(name: string): Inode {
		const inode = this._names.get(name);
		if (!inode) {
			throw new Error(`${name} does not exist`);
		}

		return inode;
	}
}
