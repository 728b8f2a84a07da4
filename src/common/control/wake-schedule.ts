import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/** Joins changes that follow each other: the first one passes at once, and others at the end of an interval that begins with it. */
export class WakeSchedule implements Disposable {
	private _nextAt = -Infinity;
	private _timer: Disposable | undefined;

	constructor(
		private readonly _clock: Clock,
		/** Interval in milliseconds at this moment. */
		private readonly _intervalMs: () => number,
		private readonly _wake: () => void,
	) {}

	/** Whether a change waits for the end of the interval. */
	get isPending(): boolean {
		return this._timer !== undefined;
	}

	/** Records a change. */
	request(): void {
		if (this._timer) {
			return;
		}

		const waitMs = this._nextAt - this._clock.now();
		if (waitMs <= 0) {
			this._pass();
		} else {
			this._timer = this._clock.setTimer(waitMs, () => {
				this._timer = undefined;
				this._pass();
			});
		}
	}

	dispose(): void {
		this._timer?.dispose();
		this._timer = undefined;
	}

	private _pass(): void {
		this._nextAt = this._clock.now() + this._intervalMs();
		this._wake();
	}
}
