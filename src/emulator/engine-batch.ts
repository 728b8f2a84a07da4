import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';

/** Speed of an engine. */
export interface EngineSpeed {
	/** Maximum number of requests in the batch. */
	readonly maxRunning: number;
	/** Prompt tokens processed per second. */
	readonly prefillRate: number;
	/** Duration of a decoding step in milliseconds. Each step produces one token for every running request. */
	readonly stepMs: number;
}

/** A request in the queue or in the batch. */
export interface BatchJob {
	readonly priority: number;
	/** Prompt tokens that are not in the prefix cache. */
	readonly newTokens: number;
	readonly outputTokens: number;
	/** Called for each token; `isLast` is true for the last one. */
	onToken(index: number, isLast: boolean): void;
}

type Entry = {readonly job: BatchJob; readonly order: number; produced: number; readyAt: number};

/** Continuous batching with a bounded batch, a priority queue, and prefill before the first token. */
export class EngineBatch implements Disposable {
	private _queue: Entry[] = [];
	private readonly _running = new Set<Entry>();
	private _order = 0;
	private _prefillFreeAt = 0;
	private _timer: Disposable | undefined;

	constructor(private readonly _clock: Clock, private readonly _speed: EngineSpeed) {}

	get running(): number {
		return this._running.size;
	}

	get queued(): number {
		return this._queue.length;
	}

	get queuedTokens(): number {
		return this._queue.reduce((sum, {job}) => sum + job.newTokens, 0);
	}

	/** Tokens generated per second at the current batch size. */
	get decodeRate(): number {
		return Math.max(1, this._running.size) * 1000 / this._speed.stepMs;
	}

	/** Adds a request. Disposing the result cancels it. */
	add(job: BatchJob): Disposable {
		const entry: Entry = {
			job, order: this._order++, produced: 0, readyAt: 0,
		};
		this._queue.push(entry);
		this._queue.sort((a, b) => a.job.priority - b.job.priority || a.order - b.order);
		this._schedule();
		return {
			dispose: () => {
				this._running.delete(entry);
				this._queue = this._queue.filter(other => other !== entry);
			},
		};
	}

	dispose(): void {
		this._timer?.dispose();
		this._queue = [];
		this._running.clear();
	}

	private _schedule(): void {
		this._fill();
		if (this._timer !== undefined || this._running.size === 0) {
			return;
		}

		this._timer = this._clock.setTimer(this._speed.stepMs, () => {
			this._timer = undefined;
			this._step();
			this._schedule();
		});
	}

	private _fill(): void {
		const now = this._clock.now();
		while (this._running.size < this._speed.maxRunning && this._queue.length > 0) {
			const entry = this._queue.shift()!;
			// Prompts are prefilled one after another.
			this._prefillFreeAt = Math.max(now, this._prefillFreeAt) + (entry.job.newTokens / this._speed.prefillRate * 1000);
			entry.readyAt = this._prefillFreeAt;
			this._running.add(entry);
		}
	}

	private _step(): void {
		const now = this._clock.now();
		for (const entry of this._running) {
			if (entry.readyAt > now || !this._running.has(entry)) {
				continue;
			}

			entry.produced++;
			const isLast = entry.produced >= entry.job.outputTokens;
			if (isLast) {
				this._running.delete(entry);
			}

			entry.job.onToken(entry.produced - 1, isLast);
		}
	}
}
