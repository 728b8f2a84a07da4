import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {TimerHeap} from './timer-heap.js';

/** Clock that advances only on request. Timers that are due at the same time run in order of creation. */
export class ManualClock implements Clock {
	private _now = 0;
	private readonly _timers = new TimerHeap();

	constructor(private readonly _wallOrigin = 1_800_000_000_000) {}

	now(): number {
		return this._now;
	}

	wallTime(): number {
		return this._wallOrigin + this._now;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = this._timers.add(this._now + Math.max(0, delayMs), callback);
		return {
			dispose() {
				timer.callback = undefined;
			},
		};
	}

	/** Advances the clock and runs all timers that become due; promises settle after each timer. */
	async advance(durationMs: number): Promise<void> {
		const end = this._now + durationMs;
		await this._settle();
		for (let timer = this._timers.first; timer && timer.due <= end; timer = this._timers.first) {
			this._timers.removeFirst();
			const {due, callback} = timer;
			if (callback) {
				this._now = Math.max(this._now, due);
				callback();
				// eslint-disable-next-line no-await-in-loop -- the next timer must see the effects of this one
				await this._settle();
			}
		}

		this._now = end;
	}

	/** Advances in steps until the condition holds. @returns whether it held within `limitMs`. */
	async advanceUntil(condition: () => boolean, limitMs: number, stepMs = 10): Promise<boolean> {
		const end = this._now + limitMs;
		while (!condition() && this._now < end) {
			// eslint-disable-next-line no-await-in-loop -- the condition is checked after each step
			await this.advance(stepMs);
		}

		return condition();
	}

	private async _settle(): Promise<void> {
		// A macrotask runs only after the microtask queue is empty.
		return new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
