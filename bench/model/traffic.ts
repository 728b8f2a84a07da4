import {type RandomSource} from '../../src/common/base/random-source.js';
import {type Urgency} from '../../src/common/documents/urgency.js';

/** Tokens per block of the prefix cache. */
export const blockTokens = 128;

/** Distribution of prompt prefixes in the traffic. */
export interface TrafficShape {
	/** Share of requests that begin with a shared prefix. */
	readonly sharedPrefixShare: number;
	/** Number of shared prefixes; popularity is proportional to 1/rank. */
	readonly prefixes: number;
	/** Number of blocks in a shared prefix. */
	readonly prefixBlocks: number;
}

/** Request of the simulated traffic. */
export interface TrafficRequest {
	readonly urgency: Urgency;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly prefixHashes: readonly number[];
}

/** A minority of requests share prefixes, as with common system prompts. */
export const commonShape: TrafficShape = {sharedPrefixShare: 0.3, prefixes: 50, prefixBlocks: 4};
/** Most requests have long shared prefixes; the most popular one is in about a quarter of all requests. */
export const sharedShape: TrafficShape = {sharedPrefixShare: 0.9, prefixes: 40, prefixBlocks: 16};

/** Generates random requests. */
export class Traffic {
	private _nextUniqueHash = 1_000_000;
	private readonly _totalWeight: number;

	constructor(private readonly _random: RandomSource, private readonly _shape: TrafficShape) {
		this._totalWeight = Array.from({length: _shape.prefixes}, (_, rank) => 1 / (rank + 1)).reduce((sum, weight) => sum + weight, 0);
	}

	/** Draws the milliseconds until the next arrival of a Poisson process with `rate` requests/s. */
	nextGapMs(rate: number): number {
		return -1000 * Math.log(1 - this._random.next()) / rate;
	}

	/** Draws a request: one fifth are urgent, half are normal, the rest are batch; lengths are log-normal. */
	next(): TrafficRequest {
		const draw = this._random.next();
		const uniqueTokens = Math.max(64, Math.min(8000, this._drawLogNormal(700, 0.8)));
		const sharedHashes = this._random.next() < this._shape.sharedPrefixShare ? this._drawPrefix() : [];
		const blocks = Math.floor(uniqueTokens / blockTokens);
		const hashes = [...sharedHashes];
		for (let index = 0; index < blocks; index++) {
			hashes.push(this._nextUniqueHash++);
		}

		return {
			urgency: draw < 0.2 ? 'urgent' : (draw < 0.7 ? 'normal' : 'batch'),
			inputTokens: Math.round((sharedHashes.length * blockTokens) + uniqueTokens),
			outputTokens: Math.round(Math.max(2, Math.min(1000, this._drawLogNormal(110, 0.8)))),
			prefixHashes: hashes,
		};
	}

	private _drawPrefix(): number[] {
		let remaining = this._random.next() * this._totalWeight;
		let rank = 0;
		while (rank < this._shape.prefixes - 1 && remaining > 1 / (rank + 1)) {
			remaining -= 1 / (rank + 1);
			rank++;
		}

		return Array.from({length: this._shape.prefixBlocks}, (_, block) => (rank * 1000) + block);
	}

	private _drawLogNormal(median: number, sigma: number): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this._random.next())) * Math.cos(2 * Math.PI * this._random.next());
		return median * Math.exp(sigma * normal);
	}
}
