import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

const intervalMs = 50;

/** Measures for how long this process did not run, by the lateness of a timer. */
export class PauseMeter implements Disposable {
	/** Longest pause in milliseconds. */
	longestMs = 0;
	private _timer: Disposable;

	constructor(private readonly _clock: Clock) {
		this._timer = this._measure();
	}

	dispose(): void {
		this._timer.dispose();
	}

	private _measure(): Disposable {
		const dueAt = this._clock.now() + intervalMs;
		return this._clock.setTimer(intervalMs, () => {
			this.longestMs = Math.max(this.longestMs, Math.round(this._clock.now() - dueAt));
			this._timer = this._measure();
		});
	}
}
