import {performance} from 'node:perf_hooks';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

/** Clock of the operating system. */
export class SystemClock implements Clock {
	now(): number {
		return performance.now();
	}

	wallTime(): number {
		return Date.now();
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = setTimeout(callback, Math.max(0, delayMs));
		return {
			dispose() {
				clearTimeout(timer);
			},
		};
	}
}
