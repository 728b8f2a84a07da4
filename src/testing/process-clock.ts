import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

/** Clock of one process. It runs at its own rate, can be frozen, and stops when the process ends. */
export class ProcessClock implements Clock {
	private _isEnded = false;
	private _frozenUntil = 0;

	/** At a rate of 1.01 the clock runs 1 % fast. */
	constructor(private readonly _clock: Clock, private readonly _rate = 1) {}

	now(): number {
		return this._clock.now() * this._rate;
	}

	wallTime(): number {
		return this._clock.wallTime();
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		return this._clock.setTimer(delayMs / this._rate, () => {
			this._run(callback);
		});
	}

	/** Time until which the process is frozen, on the underlying clock. */
	get frozenUntil(): number {
		return this._frozenUntil;
	}

	/** Freezes the process: time advances, but its timers run only after the freeze. */
	freeze(durationMs: number): void {
		this._frozenUntil = this._clock.now() + durationMs;
	}

	/** Ends the process; no timer runs afterwards. */
	end(): void {
		this._isEnded = true;
	}

	private _run(callback: () => void): void {
		if (this._isEnded) {
			return;
		}

		const waitMs = this._frozenUntil - this._clock.now();
		if (waitMs > 0) {
			this._clock.setTimer(waitMs, () => {
				this._run(callback);
			});
		} else {
			callback();
		}
	}
}
