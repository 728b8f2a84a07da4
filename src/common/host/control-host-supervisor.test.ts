import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type AppError} from '../base/app-error.js';
import {Emitter} from '../base/emitter.js';
import {nullLogger} from '../base/null-logger.js';
import {StorageFailedError} from '../consensus/storage-errors.js';
import {type ControlHost} from './control-host.js';
import {ControlHostSupervisor} from './control-host-supervisor.js';

/** Failure with an error code of the operating system, and the system call that failed after a space. */
function failure(text: string): StorageFailedError {
	const [code, syscall] = text.split(' ');
	return new StorageFailedError('writing the log failed', {cause: Object.assign(new Error(text), {code, syscall})});
}

/** A failure that is returned at more starts than there are in 30 s. */
function forever(code: string): string[] {
	return Array.from({length: 40}, () => code);
}

// Guards against a process that exits repeatedly while its disk is full, and against one that continues after a failed sync.
it.each<{code: string; nextStarts: string[]; starts: number; isFatal: boolean}>([
	{
		code: 'ENOSPC', nextStarts: [], starts: 2, isFatal: false,
	},
	{
		code: 'ENOSPC', nextStarts: ['ENOSPC', 'ENOSPC'], starts: 4, isFatal: false,
	},
	{
		code: 'EIO', nextStarts: [], starts: 1, isFatal: true,
	},
	{
		code: 'ENOSPC', nextStarts: ['EIO'], starts: 2, isFatal: true,
	},
	{
		code: 'EIO write', nextStarts: [], starts: 2, isFatal: false,
	},
	{
		code: 'EROFS open', nextStarts: ['EIO ftruncate', 'EMFILE open'], starts: 4, isFatal: false,
	},
	{
		code: 'EIO fdatasync', nextStarts: [], starts: 1, isFatal: true,
	},
	{
		code: 'EIO fsync', nextStarts: [], starts: 1, isFatal: true,
	},
	{
		code: 'EIO write', nextStarts: ['EIO fdatasync'], starts: 2, isFatal: true,
	},
	{
		code: 'EIO write', nextStarts: forever('EIO open'), starts: 12, isFatal: true,
	},
	{
		code: 'ENOSPC write', nextStarts: forever('ENOSPC mkdir'), starts: 31, isFatal: false,
	},
])('after $code, then $nextStarts at the next starts: starts $starts times, fatal $isFatal', async ({code, nextStarts, starts, isFatal}) => {
	const clock = new ManualClock();
	const fatal = new Emitter<AppError>();
	let count = 0;
	const supervisor = new ControlHostSupervisor(async () => {
		const next = count++ === 0 ? undefined : nextStarts.shift();
		if (next !== undefined) {
			throw failure(next);
		}

		return {onFatal: fatal.event, close: async () => undefined, dispose: () => undefined} as unknown as ControlHost;
	}, clock, nullLogger);
	let fatalError: AppError | undefined;
	supervisor.onFatal(error => {
		fatalError = error;
	});
	await supervisor.start();
	fatal.fire(failure(code));
	if (starts > 1) {
		expect(() => supervisor.host).toThrow('waits for its disk');
	}

	await clock.advance(30_000);
	expect(count).toBe(starts);
	expect(fatalError !== undefined).toBe(isFatal);
	if (!isFatal && nextStarts.length === 0) {
		expect(supervisor.host).toBeDefined();
	}
});
