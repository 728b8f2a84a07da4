import {type MethodLoad} from './call-load.js';
import {type Clock} from './clock.js';
import {type Counters} from './counters.js';
import {type Disposable} from './disposable.js';
import {type Logger} from './logger.js';

/** Dependencies of `ProcessorWatch`. */
export interface ProcessorWatchOptions {
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Returns the processor time in milliseconds that the process has used so far. */
	readonly usedMs: () => number;
	/** Part of a processor that the process gets. */
	readonly share: number;
	/** Returns the handled calls by method since the last reading. */
	readonly takeCalls: () => Readonly<Record<string, MethodLoad>>;
}

/** Interval in milliseconds between two checks. */
const checkIntervalMs = 1000;
/** Part of the share above which a line is logged: work that arrives in bursts waits from about here on. */
const loggedPart = 0.75;

/** Reports the processor time of the process, and what it did with it when the time is nearly used up. */
export class ProcessorWatch implements Disposable {
	private _timer: Disposable | undefined;
	private _lastUsedMs: number;
	private _lastAt: number;

	constructor(private readonly _options: ProcessorWatchOptions) {
		this._lastUsedMs = _options.usedMs();
		this._lastAt = _options.clock.now();
		this._schedule();
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _schedule(): void {
		this._timer = this._options.clock.setTimer(checkIntervalMs, () => {
			this._check();
			this._schedule();
		});
	}

	private _check(): void {
		const {clock, counters, logger, share} = this._options;
		const now = clock.now();
		const usedMs = this._options.usedMs();
		const spentMs = usedMs - this._lastUsedMs;
		const ms = now - this._lastAt;
		this._lastUsedMs = usedMs;
		this._lastAt = now;
		const calls = this._options.takeCalls();
		counters.increment('process.processor-ms', spentMs);
		if (ms > 0 && spentMs >= ms * share * loggedPart) {
			logger.warn({
				processorMs: Math.round(spentMs), ms: Math.round(ms), share, calls,
			}, 'processor time is nearly used up');
		}
	}
}
