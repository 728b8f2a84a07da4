import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

/** Clock of a host that runs faster (rate above 1) or slower (rate below 1) than the clock of the test. */
export class DriftingClock implements Clock {
	private _offset = 0;

	constructor(private readonly _clock: Clock, private readonly _rate: number) {}

	now(): number {
		return (this._clock.now() * this._rate) + this._offset;
	}

	wallTime(): number {
		return this._clock.wallTime();
	}

	/** Advances this clock without running timers or delivering messages, as a stall of the process does. */
	stall(durationMs: number): void {
		this._offset += durationMs;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		return this._clock.setTimer(delayMs / this._rate, callback);
	}
}
