import {type Clock} from '../../src/common/base/clock.js';
import {type Urgency} from '../../src/common/documents/urgency.js';
import {type LoadReport} from '../../src/common/routing/load-report.js';
import {PrefixCache} from './prefix-cache.js';

/** Request to an engine. */
export interface EngineWork {
	readonly urgency: Urgency;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly prefixHashes: readonly number[];
	onFirstToken(): void;
	onEnd(): void;
}

/** Limits and rates of an engine. */
export interface EngineRates {
	/** Maximum number of sequences in the batch. */
	readonly capacity: number;
	/** Maximum number of prompt tokens in one step. */
	readonly chunkTokens: number;
	/** Duration of a step: `stepMs`, plus `sequenceMs` for each decoding sequence, plus the prompt tokens at `prefillRate` tokens/s. */
	readonly stepMs: number;
	readonly sequenceMs: number;
	readonly prefillRate: number;
	/** Maximum number of blocks in the prefix cache. */
	readonly cacheBlocks: number;
	/** Speed factor; below 1 for a slow engine. */
	readonly speed: number;
}

/** Typical rates of an engine with an 8 B model on one accelerator: 24 ms between tokens at a batch of 32 with occasional prefill chunks. */
export const commonRates: EngineRates = {
	capacity: 32, chunkTokens: 512, stepMs: 12, sequenceMs: 0.25, prefillRate: 15_000, cacheBlocks: 1000, speed: 1,
};

type Sequence = {work: EngineWork; prefillLeft: number; outputLeft: number};
const urgencies = ['urgent', 'normal', 'batch'] as const;

/** Simulated engine with continuous batching and chunked prefill; prompts are processed in order of urgency. */
export class EngineModel {
	private readonly _waiting: Record<Urgency, EngineWork[]> = {urgent: [], normal: [], batch: []};
	private _prefilling: Sequence[] = [];
	private _decoding: Sequence[] = [];
	private readonly _cache: PrefixCache;
	private _isStepping = false;
	private _isUp = true;

	constructor(private readonly _clock: Clock, private readonly _rates: EngineRates = commonRates) {
		this._cache = new PrefixCache(_rates.cacheBlocks);
	}

	get isUp(): boolean {
		return this._isUp;
	}

	/** Adds work to the queue. A failed engine never answers. */
	submit(work: EngineWork): void {
		this._waiting[work.urgency].push(work);
		if (!this._isStepping && this._isUp) {
			this._step();
		}
	}

	/** Stops the engine without notice. */
	fail(): void {
		this._isUp = false;
	}

	/** Returns the current load. */
	report(): LoadReport {
		const waiting = urgencies.flatMap(name => this._waiting[name]);
		const inputTokens = (work: readonly EngineWork[]) => work.reduce((sum, item) => sum + item.inputTokens, 0);
		const prefillTokens = (urgency?: Urgency) => this._prefilling.reduce((sum, item) => sum + (urgency && item.work.urgency !== urgency ? 0 : item.prefillLeft), 0);
		const {chunkTokens} = this._rates;
		return {
			at: this._clock.now(),
			running: this._prefilling.length + this._decoding.length,
			queued: waiting.length,
			queuedTokens: inputTokens(waiting) + prefillTokens(),
			urgentQueuedTokens: inputTokens(this._waiting.urgent) + prefillTokens('urgent'),
			prefillRate: 1000 * chunkTokens / this._durationMs(chunkTokens),
			decodeRate: 1000 * this._decoding.length / this._durationMs(0),
		};
	}

	/** Returns the blocks stored and evicted since the last call. */
	takeCacheChanges(): {stored: number[]; evicted: number[]} {
		return this._cache.takeChanges();
	}

	private _durationMs(promptTokens: number): number {
		const {stepMs, sequenceMs, prefillRate, speed} = this._rates;
		return (stepMs + (sequenceMs * this._decoding.length) + (1000 * promptTokens / prefillRate)) / speed;
	}

	private _step(): void {
		this._fillBatch();
		if (this._prefilling.length + this._decoding.length === 0) {
			this._isStepping = false;
			return;
		}

		this._isStepping = true;
		let budget = this._rates.chunkTokens;
		for (const sequence of this._prefilling) {
			const tokens = Math.min(budget, sequence.prefillLeft);
			sequence.prefillLeft -= tokens;
			budget -= tokens;
		}

		const decoding = [...this._decoding];
		this._clock.setTimer(this._durationMs(this._rates.chunkTokens - budget), () => {
			if (this._isUp) {
				this._endStep(decoding);
				this._step();
			}
		});
	}

	private _fillBatch(): void {
		for (const name of urgencies) {
			const waiting = this._waiting[name];
			while (waiting.length > 0 && this._prefilling.length + this._decoding.length < this._rates.capacity) {
				const work = waiting.shift()!;
				const cachedBlocks = this._cache.countCachedBlocks(work.prefixHashes);
				const cachedTokens = cachedBlocks === 0 ? 0 : work.inputTokens * cachedBlocks / work.prefixHashes.length;
				// At least one prompt token is computed, because it yields the first token of the answer.
				this._prefilling.push({work, prefillLeft: Math.max(1, Math.round(work.inputTokens - cachedTokens)), outputLeft: work.outputTokens});
			}
		}

		this._prefilling.sort((a, b) => urgencies.indexOf(a.work.urgency) - urgencies.indexOf(b.work.urgency));
	}

	private _endStep(decoding: readonly Sequence[]): void {
		for (const sequence of decoding) {
			sequence.outputLeft--;
		}

		for (const sequence of this._prefilling) {
			if (sequence.prefillLeft === 0) {
				sequence.outputLeft--;
				this._cache.store(sequence.work.prefixHashes);
				this._decoding.push(sequence);
				sequence.work.onFirstToken();
			}
		}

		this._prefilling = this._prefilling.filter(sequence => sequence.prefillLeft > 0);
		const ended = this._decoding.filter(sequence => sequence.outputLeft <= 0);
		this._decoding = this._decoding.filter(sequence => sequence.outputLeft > 0);
		for (const sequence of ended) {
			sequence.work.onEnd();
		}
	}
}
