import {type Clock} from '../common/base/clock.js';
import {urgency, type Urgency} from '../common/documents/urgency.js';
import {type TraceEngine} from './trace.js';

/** Work for an engine. */
export interface EngineJob {
	readonly urgency: Urgency;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly prefixes: readonly number[];
	/** Called at the end with the time from submission to the first token, or without a result if the engine failed. */
	readonly onDone: (result?: {firstTokenMs: number; betweenTokensMs: number}) => void;
}

type Running = {job: EngineJob; cancel: () => void};

/** Number of tokens that one prefix hash covers. */
const tokensPerPrefix = 256;
const urgencyOrder = Object.values(urgency);

/** Model engine with slots, a queue sorted by urgency, prefill and decode rates, and a cache of prompt prefixes. */
export class Engine {
	alive = true;
	private _queue: Array<{job: EngineJob; at: number}> = [];
	private readonly _running = new Set<Running>();
	/** Least recently used first. */
	private readonly _prefixes = new Set<number>();

	constructor(readonly settings: TraceEngine, private readonly _clock: Clock) {}

	/** Number of running and queued jobs. */
	get load(): number {
		return this._running.size + this._queue.length;
	}

	/** Estimated time to the first token of a job in milliseconds. */
	expectedFirstTokenMs(inputTokens: number, prefixes: readonly number[]): number {
		const {slots, tokenMs} = this.settings;
		const waiting = Math.max(0, this.load - slots + 1);
		return this._prefillMs(inputTokens, prefixes) + (waiting * tokenMs * 200 / slots);
	}

	submit(job: EngineJob): void {
		const rank = urgencyOrder.indexOf(job.urgency);
		const position = this._queue.findIndex(other => urgencyOrder.indexOf(other.job.urgency) > rank);
		this._queue.splice(position === -1 ? this._queue.length : position, 0, {job, at: this._clock.now()});
		this._startNext();
	}

	/** Fails all running and queued jobs. */
	fail(): void {
		this.alive = false;
		const jobs = [...this._running].map(({job, cancel}) => {
			cancel();
			return job;
		});
		jobs.push(...this._queue.map(({job}) => job));
		this._running.clear();
		this._queue = [];
		this._prefixes.clear();
		for (const job of jobs) {
			job.onDone();
		}
	}

	recover(): void {
		this.alive = true;
	}

	private _startNext(): void {
		while (this._running.size < this.settings.slots) {
			const next = this._queue.shift();
			if (!next) {
				return;
			}

			this._start(next.job, next.at);
		}
	}

	private _start(job: EngineJob, at: number): void {
		const firstTokenMs = this._clock.now() - at + this._prefillMs(job.inputTokens, job.prefixes);
		// A fuller batch slows every stream; with all slots in use, the time between tokens is about doubled.
		const betweenTokensMs = this.settings.tokenMs * (1 + (this._running.size / this.settings.slots));
		this._cachePrefixes(job.prefixes);
		const end = at + firstTokenMs + (betweenTokensMs * job.outputTokens);
		const timer = this._clock.setTimer(end - this._clock.now(), () => {
			this._running.delete(running);
			job.onDone({firstTokenMs, betweenTokensMs});
			this._startNext();
		});
		const running: Running = {
			job, cancel() {
				timer.dispose();
			},
		};
		this._running.add(running);
	}

	private _prefillMs(inputTokens: number, prefixes: readonly number[]): number {
		const missing = prefixes.findIndex(hash => !this._prefixes.has(hash));
		const cached = tokensPerPrefix * (missing === -1 ? prefixes.length : missing);
		return 1000 * Math.max(1, inputTokens - cached) / this.settings.prefillRate;
	}

	private _cachePrefixes(prefixes: readonly number[]): void {
		for (const hash of prefixes) {
			this._prefixes.delete(hash);
			this._prefixes.add(hash);
		}

		for (const hash of this._prefixes) {
			if (this._prefixes.size <= this.settings.prefixCapacity) {
				break;
			}

			this._prefixes.delete(hash);
		}
	}
}
