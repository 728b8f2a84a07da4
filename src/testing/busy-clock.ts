import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

/** Clock of a processor that tests keep busy; timers run on request. */
export class BusyClock implements Clock {
	private _now = 0;
	private readonly _timers = new Set<{readonly due: number; readonly callback: () => void}>();

	now(): number {
		return this._now;
	}

	wallTime(): number {
		return this._now;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = {due: this._now + Math.max(1, delayMs), callback};
		this._timers.add(timer);
		return {
			dispose: () => {
				this._timers.delete(timer);
			},
		};
	}

	/** Takes processor time. */
	work(ms: number): void {
		this._now += ms;
	}

	/** Runs the timer that is due first. @returns how long it held the processor, in milliseconds. */
	runTimer(): number {
		const [timer] = [...this._timers].sort((a, b) => a.due - b.due);
		if (!timer) {
			throw new Error('no timer is set');
		}

		this._timers.delete(timer);
		this._now = Math.max(this._now, timer.due);
		const startedAt = this._now;
		timer.callback();
		return this._now - startedAt;
	}
}
