/** Bounded LRU cache of the prompt prefix blocks of an engine. */
export class PrefixCache {
	private readonly _blocks = new Map<number, true>();

	/** `_capacity` is the maximum number of blocks. */
	constructor(private readonly _capacity: number) {}

	/** Returns the number of leading blocks that are cached. */
	match(hashes: readonly number[]): number {
		const missing = hashes.findIndex(hash => !this._blocks.has(hash));
		return missing === -1 ? hashes.length : missing;
	}

	/** Stores the blocks of a prompt. @returns the hashes of the added and of the evicted blocks. */
	store(hashes: readonly number[]): {stored: number[]; evicted: number[]} {
		const stored: number[] = [];
		for (const hash of hashes) {
			if (!this._blocks.delete(hash)) {
				stored.push(hash);
			}

			this._blocks.set(hash, true);
		}

		const evicted: number[] = [];
		while (this._blocks.size > this._capacity) {
			const oldest = this._blocks.keys().next().value!;
			this._blocks.delete(oldest);
			evicted.push(oldest);
		}

		return {stored, evicted};
	}
}
