import {type DiskFile} from './disk-file.js';

/** Folder on disk. File contents are durable after the file's `sync`, file names after `syncFolder`. */
export interface Disk {
	list(): Promise<readonly string[]>;
	read(name: string): Promise<Uint8Array>;
	/** Opens a file for appending; creates it if it does not exist. */
	open(name: string): Promise<DiskFile>;
	rename(from: string, to: string): Promise<void>;
	remove(name: string): Promise<void>;
	syncFolder(): Promise<void>;
}
