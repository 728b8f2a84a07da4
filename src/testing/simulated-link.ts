import {type Clock} from '../common/base/clock.js';

type Job = {readonly size: number; readonly signal: AbortSignal; readonly queuedAt: number; readonly onSent: () => void};

/** One direction of the link of a host. Messages are sent one after the other; the rest of a message is dropped when its call is given up. */
export class SimulatedLink {
	/** Longest time in milliseconds that a message waited for others. */
	longestWaitMs = 0;
	private readonly _queue: Job[] = [];
	private _isBusy = false;
	private _bytes = 0;

	/** `_rate` in bytes per millisecond. */
	constructor(private readonly _clock: Clock, private readonly _rate: number) {}

	/** Bytes sent so far. */
	get bytes(): number {
		return this._bytes;
	}

	send(size: number, signal: AbortSignal, onSent: () => void): void {
		this._queue.push({
			size, signal, queuedAt: this._clock.now(), onSent,
		});
		if (!this._isBusy) {
			this._sendNext();
		}
	}

	private _sendNext(): void {
		let job = this._queue.shift();
		while (job?.signal.aborted) {
			job = this._queue.shift();
		}

		this._isBusy = job !== undefined;
		if (job) {
			this._sendJob(job);
		}
	}

	private _sendJob({
		size, signal, queuedAt, onSent,
	}: Job): void {
		const startedAt = this._clock.now();
		this.longestWaitMs = Math.max(this.longestWaitMs, startedAt - queuedAt);
		const abort = () => {
			timer.dispose();
			this._bytes += Math.min(size, (this._clock.now() - startedAt) * this._rate);
			this._sendNext();
		};

		const timer = this._clock.setTimer(size / this._rate, () => {
			signal.removeEventListener('abort', abort);
			this._bytes += size;
			this._sendNext();
			onSent();
		});
		signal.addEventListener('abort', abort, {once: true});
	}
}
