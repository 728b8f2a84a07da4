import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {TimerHeap} from '../testing/timer-heap.js';

/** Clock of a simulation, which runs timers synchronously in order of due time. */
export class SimClock implements Clock {
	private _now = 0;
	private readonly _timers = new TimerHeap();

	now(): number {
		return this._now;
	}

	wallTime(): number {
		return 1_800_000_000_000 + this._now;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = this._timers.add(this._now + Math.max(0, delayMs), callback);
		return {
			dispose() {
				timer.callback = undefined;
			},
		};
	}

	/** Runs all timers that are due by a time and advances the clock to that time. */
	runUntil(time: number): void {
		for (let timer = this._timers.first; timer && timer.due <= time; timer = this._timers.first) {
			this._timers.removeFirst();
			this._now = Math.max(this._now, timer.due);
			timer.callback?.();
		}

		this._now = Math.max(this._now, time);
	}
}
