import {
	mkdir, open, readdir, readFile, rename, rm,
} from 'node:fs/promises';
import path from 'node:path';
import {type Disk} from '../common/consensus/disk.js';
import {type DiskFile} from '../common/consensus/disk-file.js';

/** Folder of the file system that holds the files of a log. */
export class FileDisk implements Disk {
	/** Opens the folder. Creates and syncs it if it does not exist. */
	static async open(folder: string): Promise<FileDisk> {
		const first = await mkdir(folder, {recursive: true});
		if (first !== undefined) {
			// A new folder is durable only after its parent, which has the entry, is synced.
			for (let created = path.resolve(folder); created.length >= first.length; created = path.dirname(created)) {
				// eslint-disable-next-line no-await-in-loop -- from the innermost folder outwards
				await syncFolder(path.dirname(created));
			}
		}

		return new FileDisk(folder);
	}

	private constructor(private readonly _folder: string) {}

	async list(): Promise<readonly string[]> {
		return readdir(this._folder);
	}

	async read(name: string): Promise<Uint8Array> {
		return readFile(this._path(name));
	}

	async open(name: string): Promise<DiskFile> {
		const handle = await open(this._path(name), 'a');
		return {
			async append(bytes) {
				await handle.appendFile(bytes);
			},
			async truncate(length) {
				await handle.truncate(length);
			},
			async sync() {
				// A data sync (fdatasync) suffices, because it also makes the file size durable.
				await handle.datasync();
			},
			async close() {
				await handle.close();
			},
		};
	}

	async rename(from: string, to: string): Promise<void> {
		await rename(this._path(from), this._path(to));
	}

	async remove(name: string): Promise<void> {
		await rm(this._path(name));
	}

	async syncFolder(): Promise<void> {
		await syncFolder(this._folder);
	}

	private _path(name: string): string {
		return path.join(this._folder, name);
	}
}

async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}
