import {type Clock} from './clock.js';

/** Resolves after the delay in milliseconds, or as soon as the signal is aborted. */
export async function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	return new Promise(resolve => {
		const finish = () => {
			timer.dispose();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = clock.setTimer(delayMs, finish);
		signal?.addEventListener('abort', finish, {once: true});
	});
}
