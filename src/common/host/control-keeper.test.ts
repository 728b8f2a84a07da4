import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type AppError} from '../base/app-error.js';
import {Emitter} from '../base/emitter.js';
import {nullLogger} from '../base/null-logger.js';
import {StorageFailedError} from '../consensus/storage-errors.js';
import {type ControlHost} from './control-host.js';
import {ControlKeeper} from './control-keeper.js';

function failure(code: string): StorageFailedError {
	return new StorageFailedError('writing the log failed', {cause: Object.assign(new Error(code), {code})});
}

// Guards against a process that ends again and again while its disk is full, and against one that goes on after a failed sync.
it.each<{code: string; nextStarts: string[]; starts: number; isEnded: boolean}>([
	{
		code: 'ENOSPC', nextStarts: [], starts: 2, isEnded: false,
	},
	{
		code: 'ENOSPC', nextStarts: ['ENOSPC', 'ENOSPC'], starts: 4, isEnded: false,
	},
	{
		code: 'EIO', nextStarts: [], starts: 1, isEnded: true,
	},
	{
		code: 'ENOSPC', nextStarts: ['EIO'], starts: 2, isEnded: true,
	},
])('after $code, and $nextStarts at the next starts: $starts starts, ended $isEnded', async ({code, nextStarts, starts, isEnded}) => {
	const clock = new ManualClock();
	const fatal = new Emitter<AppError>();
	let count = 0;
	const keeper = new ControlKeeper(async () => {
		const next = count++ === 0 ? undefined : nextStarts.shift();
		if (next !== undefined) {
			throw failure(next);
		}

		return {onFatal: fatal.event, close: async () => undefined, dispose: () => undefined} as unknown as ControlHost;
	}, clock, nullLogger);
	let ended: AppError | undefined;
	keeper.onFatal(error => {
		ended = error;
	});
	await keeper.start();
	fatal.fire(failure(code));
	if (code === 'ENOSPC') {
		expect(() => keeper.host).toThrow('waits for its disk');
	}

	await clock.advance(10_000);
	expect(count).toBe(starts);
	expect(ended !== undefined).toBe(isEnded);
	if (!isEnded) {
		expect(keeper.host).toBeDefined();
	}
});
