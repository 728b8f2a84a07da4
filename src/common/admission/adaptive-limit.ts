import {type ConcurrencyLimit} from './concurrency-limit.js';

/** Options of an `AdaptiveLimit`. */
export interface AdaptiveLimitOptions {
	/** Target for the mean wait at the backend servers in milliseconds: enough to keep their batches full, and short compared with the time to first token objective. */
	readonly targetDelayMs?: number;
	/** Time between two adjustments in milliseconds; longer than the feedback delay of one first token. */
	readonly intervalMs?: number;
	/** Maximum number of requests added in one adjustment. */
	readonly maxIncrease?: number;
}

/** Lower bound of the factor applied in one decrease; a larger decrease empties the batches before the next observation. */
const minDecreaseFactor = 0.8;
/** Maximum ratio of the limit to the reachable slots. It is above 1 because other entry hosts rarely use their share in full. */
const overcommitFactor = 1.5;

/**
Concurrency limit that adapts to the capacity of the reachable backend servers. It increases additively while requests are queued and the wait at the
backend servers is below the target, and decreases multiplicatively above the target. This makes the limits of several entry hosts converge.
*/
export class AdaptiveLimit implements ConcurrencyLimit {
	private _limit: number;
	private _slots: number;
	private _delaySum = 0;
	private _samples = 0;
	private _isSaturated = false;
	private _adjustedAt = 0;
	private readonly _targetDelayMs: number;
	private readonly _intervalMs: number;
	private readonly _maxIncrease: number;

	/** `slots` is the number of requests that the reachable backend servers can run concurrently. */
	constructor(slots: number, options: AdaptiveLimitOptions = {}) {
		this._slots = slots;
		this._limit = Math.max(1, slots / 2);
		this._targetDelayMs = options.targetDelayMs ?? 150;
		this._intervalMs = options.intervalMs ?? 500;
		this._maxIncrease = options.maxIncrease ?? 4;
	}

	get current(): number {
		return Math.max(1, Math.floor(this._limit));
	}

	/** Sets the number of slots of the reachable backend servers. A loss reduces the limit in proportion; an increase adds half of the new slots, as at startup. */
	setSlots(slots: number): void {
		if (slots < this._slots) {
			this._limit = Math.max(1, this._limit * slots / this._slots);
		} else {
			this._limit += (slots - this._slots) / 2;
		}

		this._slots = slots;
	}

	recordSaturation(): void {
		this._isSaturated = true;
	}

	/** Records the wait of one request at its backend server in milliseconds. */
	observe(delayMs: number, now: number): void {
		this._delaySum += delayMs;
		this._samples++;
		if (now - this._adjustedAt >= this._intervalMs) {
			this._adjust(now);
		}
	}

	private _adjust(now: number): void {
		const ratio = this._delaySum / this._samples / this._targetDelayMs;
		if (ratio > 1) {
			this._limit *= Math.max(minDecreaseFactor, 1 - (0.1 * (ratio - 1)));
		} else if (this._isSaturated) {
			this._limit += this._maxIncrease * (1 - ratio);
		}

		this._limit = Math.min(Math.max(1, this._limit), Math.max(1, overcommitFactor * this._slots));
		this._delaySum = 0;
		this._samples = 0;
		this._isSaturated = false;
		this._adjustedAt = now;
	}
}
