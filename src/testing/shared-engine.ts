import {type SimulationTime} from './engine-queue.js';

interface Task {
	leftMs: number;
	readonly priority: number;
	readonly onDone: () => void;
}

/** An engine that runs a number of tasks at full speed; more of them share its time, so that its latency follows its load. Tasks beyond its slots wait by priority. */
export class SharedEngine {
	private _running: Task[] = [];
	private readonly _waiting: Task[] = [];
	private _updatedAt = 0;
	private _version = 0;

	constructor(private readonly _time: SimulationTime, private readonly _fullSpeed: number, private readonly _slots: number) {}

	private get _slowdown(): number {
		return Math.max(1, this._running.length / this._fullSpeed);
	}

	/** Runs a task that takes the given time at full speed. @returns a function that cancels it. */
	run(durationMs: number, priority: number, onDone: () => void): () => void {
		const task = {leftMs: durationMs, priority, onDone};
		const at = this._waiting.findIndex(other => other.priority > priority);
		this._waiting.splice(at === -1 ? this._waiting.length : at, 0, task);
		this._update();
		return () => {
			task.leftMs = 0;
			task.onDone = () => undefined;
			this._update();
		};
	}

	private _update(): void {
		const elapsedMs = (this._time.now - this._updatedAt) / this._slowdown;
		this._updatedAt = this._time.now;
		for (const task of this._running) {
			task.leftMs -= elapsedMs;
		}

		const done = this._running.filter(({leftMs}) => leftMs < 1e-6);
		this._running = this._running.filter(task => !done.includes(task));
		this._running.push(...this._waiting.splice(0, this._slots - this._running.length));
		const version = ++this._version;
		const leftMs = Math.min(...this._running.map(task => task.leftMs));
		if (leftMs < Infinity) {
			this._time.at(this._time.now + Math.max(0, leftMs * this._slowdown), () => {
				if (version === this._version) {
					this._update();
				}
			});
		}

		for (const {onDone} of done) {
			onDone();
		}
	}
}
