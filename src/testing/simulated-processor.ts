import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

type Job = {readonly costMs: number; readonly queuedAt: number; readonly callback: () => void};

/** Processor of one host with its clock: messages and timers run one after the other, and wait while the processor is busy. */
export class SimulatedProcessor implements Clock {
	/** Processor time used so far in milliseconds. */
	usedMs = 0;
	/** Longest time in milliseconds that a message or timer waited for others. */
	longestWaitMs = 0;
	private readonly _queue: Job[] = [];
	private _isPending = false;
	private _busyUntil = 0;

	/** `_share` is the fraction of a whole processor. */
	constructor(private readonly _clock: Clock, private readonly _share: number) {}

	now(): number {
		return this._clock.now();
	}

	wallTime(): number {
		return this._clock.wallTime();
	}

	/** Time at which the work that has begun is complete. */
	get busyUntil(): number {
		return Math.max(this._clock.now(), this._busyUntil);
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		let isDisposed = false;
		const timer = this._clock.setTimer(delayMs, () => {
			this.run(0, () => {
				if (!isDisposed) {
					callback();
				}
			});
		});
		return {
			dispose() {
				isDisposed = true;
				timer.dispose();
			},
		};
	}

	/** Queues work that takes a time on a whole processor, followed by a callback. */
	run(costMs: number, callback: () => void): void {
		this._queue.push({costMs, queuedAt: this._clock.now(), callback});
		this._schedule();
	}

	/** Adds time to the work that is running. @returns the time at which it is complete. */
	charge(costMs: number): number {
		const durationMs = costMs / this._share;
		this.usedMs += costMs;
		this._busyUntil = this.busyUntil + durationMs;
		return this._busyUntil;
	}

	private _schedule(): void {
		if (this._isPending || this._queue.length === 0) {
			return;
		}

		this._isPending = true;
		// Even without a wait the next job starts in its own timer: promises of the previous one may add to its time.
		this._clock.setTimer(this.busyUntil - this._clock.now(), () => {
			this._isPending = false;
			if (this._busyUntil > this._clock.now()) {
				this._schedule();
				return;
			}

			this._start(this._queue.shift()!);
		});
	}

	private _start({costMs, queuedAt, callback}: Job): void {
		this.longestWaitMs = Math.max(this.longestWaitMs, this._clock.now() - queuedAt);
		if (costMs === 0) {
			callback();
			this._schedule();
			return;
		}

		this._isPending = true;
		this._clock.setTimer(this.charge(costMs) - this._clock.now(), () => {
			this._isPending = false;
			callback();
			this._schedule();
		});
	}
}
