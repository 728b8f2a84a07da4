import {type DiskLogOptions, DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {type LogStorage} from '../common/consensus/log-storage.js';
import {FileDisk} from './file-disk.js';

/** Opens the log storage of one member of one group in its own folder. */
export async function openFileLogStorage(folder: string, options?: DiskLogOptions): Promise<LogStorage> {
	return new DiskLogStorage(await FileDisk.open(folder), options);
}
