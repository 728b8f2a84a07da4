import {type Clock} from '../base/clock.js';
import {type EngineAttempt} from './engine-attempt.js';

/** Options of `startHedged`. */
export interface HedgedStartOptions {
	readonly primary: EngineAttempt;
	readonly clock: Clock;
	/** Time in milliseconds without a first chunk after which `createHedge` is called. */
	readonly delayMs: number;
	/** Creates the second attempt; returns undefined when no hedge is allowed. */
	readonly createHedge: () => EngineAttempt | undefined;
}

/**
Starts an attempt, and a second one when the first chunk is late. The attempt whose first chunk arrives first is returned,
the other one is cancelled.

@throws the error of the attempt that failed last, if all failed.
*/
export async function startHedged({primary, clock, delayMs, createHedge}: HedgedStartOptions): Promise<EngineAttempt> {
	return new Promise((resolve, reject) => {
		const running = new Set<EngineAttempt>();
		let hasWinner = false;
		const begin = async (attempt: EngineAttempt) => {
			running.add(attempt);
			try {
				await attempt.start();
				running.delete(attempt);
				if (!hasWinner) {
					hasWinner = true;
					timer.dispose();
					for (const other of running) {
						other.cancel();
					}

					resolve(attempt);
				}
			} catch (error) {
				running.delete(attempt);
				if (running.size === 0 && !hasWinner) {
					timer.dispose();
					reject(error instanceof Error ? error : new Error('the attempt failed', {cause: error}));
				}
			}
		};

		const timer = clock.setTimer(delayMs, () => {
			const second = createHedge();
			if (second) {
				void begin(second);
			}
		});
		void begin(primary);
	});
}
