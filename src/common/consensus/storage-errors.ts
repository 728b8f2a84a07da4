import {AppError} from '../base/app-error.js';

/** The log is damaged before its tail, or the snapshot is damaged. The host must be repaired under a new identity. */
export class LogCorruptError extends AppError {
	readonly code = 'log-corrupt' as const;
}

/** A write or sync failed. The process must end, because it is unknown what is durable. */
export class StorageFailedError extends AppError {
	readonly code = 'storage-failed' as const;
}

/** The log ends before the index that this member has confirmed: the disk lost data, but the identity was kept. */
export class LogLostError extends AppError {
	readonly code = 'log-lost' as const;
}
