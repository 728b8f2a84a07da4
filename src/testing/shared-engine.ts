import {type SimulationTime} from './engine-queue.js';

/** A request to a `SharedEngine`; times are those of an engine that runs nothing else. */
export interface EngineJob {
	readonly firstEventMs: number;
	readonly outputMs: number;
	readonly priority: number;
	readonly onFirstEvent: () => void;
	readonly onEnd: () => void;
}

interface RunningJob {
	readonly job: EngineJob;
	/** Time in milliseconds of an idle engine that the current phase still takes. */
	leftMs: number;
	hasBegun: boolean;
}

/** An engine that runs a number of requests at full speed; more of them share its time equally, so that its latency follows its load. Requests beyond the slots wait by priority. */
export class SharedEngine {
	private _running: RunningJob[] = [];
	private readonly _waiting: EngineJob[] = [];
	private _updatedAt = 0;
	private _version = 0;

	constructor(private readonly _time: SimulationTime, private readonly _fullSpeed: number, private readonly _slots: number) {}

	private get _slowdown(): number {
		return Math.max(1, this._running.length / this._fullSpeed);
	}

	run(job: EngineJob): void {
		this._advance();
		const at = this._waiting.findIndex(({priority}) => priority > job.priority);
		this._waiting.splice(at === -1 ? this._waiting.length : at, 0, job);
		this._schedule();
	}

	cancel(job: EngineJob): void {
		this._advance();
		this._running = this._running.filter(running => running.job !== job);
		const at = this._waiting.indexOf(job);
		if (at !== -1) {
			this._waiting.splice(at, 1);
		}

		this._schedule();
	}

	private _advance(): void {
		const elapsedMs = (this._time.now - this._updatedAt) / this._slowdown;
		this._updatedAt = this._time.now;
		for (const running of this._running) {
			running.leftMs -= elapsedMs;
		}
	}

	private _schedule(): void {
		while (this._running.length < this._slots && this._waiting.length > 0) {
			const job = this._waiting.shift()!;
			this._running.push({job, leftMs: job.firstEventMs, hasBegun: false});
		}

		const version = ++this._version;
		const leftMs = Math.min(...this._running.map(running => running.leftMs));
		if (leftMs < Infinity) {
			this._time.at(this._time.now + Math.max(0, leftMs * this._slowdown), () => {
				if (version === this._version) {
					this._complete();
				}
			});
		}
	}

	private _complete(): void {
		this._advance();
		const completed = this._running.filter(({leftMs}) => leftMs < 1e-6);
		this._running = this._running.filter(running => !completed.includes(running) || !running.hasBegun);
		for (const running of completed) {
			if (running.hasBegun) {
				running.job.onEnd();
			} else {
				running.hasBegun = true;
				running.leftMs = running.job.outputMs;
				running.job.onFirstEvent();
			}
		}

		this._schedule();
	}
}
