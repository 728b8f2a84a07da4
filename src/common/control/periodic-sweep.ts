import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';

/**
Calls a callback at an interval and passes the time at which the last stall of the process ended. After a stall, messages
that arrived in time may still be unread, so silence must not be counted from before that time.
*/
export class PeriodicSweep implements Disposable {
	private _lastAt: number;
	private _stalledAt = Number.NEGATIVE_INFINITY;
	private _timer: Disposable;

	constructor(private readonly _clock: Clock, private readonly _intervalMs: number, private readonly _sweep: (stalledAt: number) => void) {
		this._lastAt = _clock.now();
		this._timer = this._schedule();
	}

	dispose(): void {
		this._timer.dispose();
	}

	private _schedule(): Disposable {
		return this._clock.setTimer(this._intervalMs, () => {
			const now = this._clock.now();
			if (now - this._lastAt > 2 * this._intervalMs) {
				this._stalledAt = now;
			}

			this._lastAt = now;
			this._timer = this._schedule();
			this._sweep(this._stalledAt);
		});
	}
}
