import {type Clock} from './clock.js';
import {type Counters} from './counters.js';
import {type Disposable} from './disposable.js';
import {type Logger} from './logger.js';

/** Interval in milliseconds between two checks. */
const checkIntervalMs = 100;
/** Delay of a timer in milliseconds from which a line is logged. Heartbeats and streams are late by then. */
const loggedDelayMs = 200;

/** Reports when the event loop of the process was blocked, or the process was suspended. */
export class LoopDelayWatch implements Disposable {
	private _timer: Disposable | undefined;

	constructor(private readonly _clock: Clock, private readonly _counters: Counters, private readonly _logger: Logger) {
		this._schedule();
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _schedule(): void {
		const dueAt = this._clock.now() + checkIntervalMs;
		this._timer = this._clock.setTimer(checkIntervalMs, () => {
			const delayMs = this._clock.now() - dueAt;
			this._counters.timing('process.loop-delay', Math.max(0, delayMs));
			if (delayMs >= loggedDelayMs) {
				this._logger.warn({delayMs: Math.round(delayMs)}, 'event loop was blocked');
			}

			this._schedule();
		});
	}
}
