import {type Disposable} from './disposable.js';

/** Source of time. All code uses it for timing, so that tests can control the time. */
export interface Clock {
	/** Monotonic time in milliseconds from an arbitrary origin. */
	now(): number;
	/** Unix time in milliseconds, for display and records only. */
	wallTime(): number;
	/** Calls the callback once after the delay in milliseconds; dispose the result to cancel. */
	setTimer(delayMs: number, callback: () => void): Disposable;
}
