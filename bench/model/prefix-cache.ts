/** LRU prefix cache of an engine, which collects its changes for cache events. */
export class PrefixCache {
	private readonly _blocks = new Set<number>();
	private _stored: number[] = [];
	private _evicted: number[] = [];

	constructor(private readonly _maxBlocks: number) {}

	/** Number of prompt blocks up to and including the last cached one. */
	countCachedBlocks(hashes: readonly number[]): number {
		for (let index = hashes.length - 1; index >= 0; index--) {
			if (this._blocks.has(hashes[index]!)) {
				return index + 1;
			}
		}

		return 0;
	}

	/** Stores the blocks of a prompt and evicts the least recently used blocks above the limit. */
	store(hashes: readonly number[]): void {
		for (const hash of hashes) {
			if (!this._blocks.delete(hash)) {
				this._stored.push(hash);
			}

			this._blocks.add(hash);
		}

		while (this._blocks.size > this._maxBlocks) {
			const oldest = this._blocks.values().next().value!;
			this._blocks.delete(oldest);
			this._evicted.push(oldest);
		}
	}

	/** Returns the blocks stored and evicted since the last call. */
	takeChanges(): {stored: number[]; evicted: number[]} {
		const changes = {stored: this._stored, evicted: this._evicted};
		this._stored = [];
		this._evicted = [];
		return changes;
	}
}
