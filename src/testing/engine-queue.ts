import {TimerHeap} from './timer-heap.js';

/** Discrete-event clock of a load simulation. */
export class SimulationTime {
	now = 0;
	private readonly _timers = new TimerHeap();

	at(time: number, callback: () => void): void {
		this._timers.add(time, callback);
	}

	/** Runs all events in order of time. */
	run(): void {
		for (let timer = this._timers.first; timer; timer = this._timers.first) {
			this._timers.removeFirst();
			this.now = timer.due;
			timer.callback?.();
		}
	}
}

/** An engine that processes one prompt at a time; small models take precedence, as with the priorities of attempts. */
export class EngineQueue {
	private readonly _urgent: Array<() => void> = [];
	private readonly _other: Array<() => void> = [];
	private _isBusy = false;

	constructor(private readonly _time: SimulationTime) {}

	/** Processes a prompt for the given time, then calls back. */
	process(durationMs: number, isUrgent: boolean, onDone: () => void): void {
		(isUrgent ? this._urgent : this._other).push(() => {
			this._time.at(this._time.now + durationMs, () => {
				this._isBusy = false;
				onDone();
				this._next();
			});
		});
		this._next();
	}

	private _next(): void {
		if (!this._isBusy) {
			const start = this._urgent.shift() ?? this._other.shift();
			if (start) {
				this._isBusy = true;
				start();
			}
		}
	}
}
