import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {hashString} from './hash-string.js';
import {type RandomSource} from './random-source.js';

const twoPow32 = 0x1_00_00_00_00;

/** Deterministic random source with a 32-bit seed. */
export class SeededRandom implements RandomSource {
	private readonly _generator;

	constructor(private readonly _seed: number) {
		this._generator = xoroshiro128plus(_seed);
	}

	next(): number {
		return ((this._generator.next() / twoPow32) + 1) % 1;
	}

	integer(limit: number): number {
		return Math.floor(this.next() * limit);
	}

	fork(label: string): RandomSource {
		return new SeededRandom(hashString(label, this._seed));
	}
}
