import {type RandomSource} from '../common/base/random-source.js';
import {EngineQueue, type SimulationTime} from './engine-queue.js';

/** Factor by which a server is slower in a period of noise, the length of a period, and the share of time in such periods. */
const noise = {factor: 2.5, periodMs: 600, share: 0.15} as const;
/** Time in milliseconds for which an engine keeps a part of a prompt that nobody uses. */
const keptMs = 7000;

/** Time in milliseconds after the first event at which hosts know the pace of an answer, if it has not ended before. */
const paceSampleMs = 500;

/** Answer of a simulated server. */
export interface SimulatedTimes {
	readonly onFirstEvent: () => void;
	/** Called with the pace of the answer in milliseconds for 1,024 bytes, when that is known. */
	readonly onPace: (msPerKib: number) => void;
	readonly onEnd: () => void;
}

/** Server with a speed, which may be noisy, and which a test changes. An engine processes one prompt at a time; a plain server has slots. */
export class SizedServer {
	/** Work that it was sent, in milliseconds at speed 1. */
	sentMs = 0;
	/** Factor on its speed. */
	factor = 1;
	private readonly _queues: readonly EngineQueue[];
	private readonly _usedAt = new Map<string, number>();
	private readonly _lengths: number[];
	private _running = 0;
	private _noiseFactor = 1;

	constructor(private readonly _time: SimulationTime, private readonly _random: RandomSource, readonly speed: number, slots: number, hasNoise: boolean, untilMs: number) {
		this._queues = Array.from({length: slots}, () => new EngineQueue(_time));
		this._lengths = this._queues.map(() => 0);
		if (hasNoise) {
			this._startQuiet(untilMs);
		}
	}

	/** Runs a request. `partMs` is the work of a shared part that is saved when it is kept; `answerMs` that of 1,024 bytes of the answer. */
	run({part, partMs, ownMs, answerKib, msPerKib}: {part: string | undefined; partMs: number; ownMs: number; answerKib: number; msPerKib: number}, {onFirstEvent, onPace, onEnd}: SimulatedTimes): void {
		const isKept = part === undefined || this._time.now - (this._usedAt.get(part) ?? -Infinity) < keptMs;
		if (part !== undefined) {
			this._usedAt.set(part, this._time.now);
		}

		const workMs = ownMs + (isKept ? 0 : partMs);
		this.sentMs += workMs;
		const slot = this._lengths.indexOf(Math.min(...this._lengths));
		this._lengths[slot]!++;
		this._queues[slot]!.process(workMs / this._currentSpeed, false, () => {
			this._lengths[slot]!--;
			onFirstEvent();
			this._running++;
			const pace = msPerKib * (1 + (this._running / 16)) / this._currentSpeed;
			const answerMs = pace * answerKib;
			this._time.at(this._time.now + Math.min(paceSampleMs, answerMs), () => {
				onPace(pace);
			});
			this._time.at(this._time.now + answerMs, () => {
				this._running--;
				onEnd();
			});
		});
	}

	private get _currentSpeed(): number {
		return this.speed * this.factor / this._noiseFactor;
	}

	private _startQuiet(untilMs: number): void {
		const quietMs = -Math.log(1 - this._random.next()) * noise.periodMs * (1 - noise.share) / noise.share;
		const start = this._time.now + quietMs;
		if (start > untilMs) {
			return;
		}

		this._time.at(start, () => {
			this._noiseFactor = noise.factor;
			this._time.at(start + noise.periodMs, () => {
				this._noiseFactor = 1;
				this._startQuiet(untilMs);
			});
		});
	}
}
