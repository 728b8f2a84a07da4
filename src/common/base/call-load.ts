import {type Counters} from './counters.js';

/** Calls of one method that a process has handled since the last reading. */
export interface MethodLoad {
	calls: number;
	receivedBytes: number;
	sentBytes: number;
	/** Calls whose caller had given up before the reply was sent. */
	gone: number;
	/** Longest time in milliseconds from the sending of a call until it began, by the times of day of both hosts. */
	oldestMs: number;
}

/** One handled call. */
export interface HandledCall {
	readonly method: string;
	readonly receivedBytes: number;
	readonly sentBytes: number;
	readonly isGone: boolean;
	/** Time in milliseconds from the sending of the call until it began; undefined when the caller does not name it. */
	readonly ageMs: number | undefined;
}

/** Counts the calls that a process handles, by method. The number of methods is small and fixed. */
export class CallLoad {
	private _methods = new Map<string, MethodLoad>();

	constructor(private readonly _counters: Counters) {}

	record({method, receivedBytes, sentBytes, isGone, ageMs}: HandledCall): void {
		const tags = {method};
		this._counters.increment('peer.calls', 1, tags);
		this._counters.increment('peer.received-bytes', receivedBytes, tags);
		this._counters.increment('peer.sent-bytes', sentBytes, tags);
		if (isGone) {
			this._counters.increment('peer.gone-callers', 1, tags);
		}

		if (ageMs !== undefined) {
			this._counters.timing('peer.call-age', ageMs, tags);
		}

		let load = this._methods.get(method);
		if (!load) {
			load = {
				calls: 0, receivedBytes: 0, sentBytes: 0, gone: 0, oldestMs: 0,
			};
			this._methods.set(method, load);
		}

		load.calls++;
		load.receivedBytes += receivedBytes;
		load.sentBytes += sentBytes;
		load.gone += isGone ? 1 : 0;
		load.oldestMs = Math.max(load.oldestMs, ageMs ?? 0);
	}

	/** Returns the calls by method since the last reading. */
	take(): Record<string, MethodLoad> {
		const methods = Object.fromEntries(this._methods);
		this._methods = new Map();
		return methods;
	}
}
