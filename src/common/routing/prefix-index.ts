/** Factor on the trust at a gap in the sequence of cache events. */
const trustAfterGap = 0.5;
/** Minimum trust; an entry of a server whose events are mostly lost is still better than no information. */
const minTrust = 0.1;
/** Share of the missing trust that is regained with each event without a gap. */
const trustRecovery = 0.1;

/** Cache state of one incarnation of a backend server that holds cached prefixes. */
export class PrefixHolder {
	/** Estimated probability in [0, 1] that an entry of this holder is correct. */
	trust = 1;
	/** Highest sequence number of the cache events applied. */
	lastSequence: number | undefined;
	/** False once the incarnation was replaced or removed; its entries are then ignored. */
	isLive = true;
	/** Result of the last match in which this holder was found: the id of that match and the number of blocks held. */
	matchId = 0;
	depth = 0;

	/** @param id - Id of the backend server. */
	constructor(readonly id: string) {}
}

type Entry = {holder: PrefixHolder; at: number};
const none: readonly Entry[] = [];

/** Index of the backend servers that probably hold a prompt prefix in their cache; bounded, evicts the least recently stored prefix. */
export class PrefixIndex {
	private readonly _entries = new Map<number, Entry[]>();
	private _size = 0;
	private _matchId = 0;
	private _matchedHolders: PrefixHolder[] = [];

	/**
	The limits are the total number of (prefix, holder) pairs, the number of holders per prefix, and the age in milliseconds above which an entry is ignored.
	The defaults keep the index below 8 MB.
	*/
	constructor(private readonly _maxPairs = 65_536, private readonly _maxHolders = 32, private readonly _maxAgeMs = 300_000) {}

	/** Holders found by the last `match`; those of the longest prefix come first. */
	get matchedHolders(): readonly PrefixHolder[] {
		return this._matchedHolders;
	}

	/** Number of (prefix, holder) pairs. */
	get size(): number {
		return this._size;
	}

	/** Applies a cache event. Only the evictions of a late event are applied, because the prefixes that it stored may have been evicted since. */
	applyEvent(holder: PrefixHolder, event: {sequence: number; stored: readonly number[]; evicted: readonly number[]}, now: number): void {
		const last = holder.lastSequence;
		const isLate = last !== undefined && event.sequence <= last;
		if (!isLate) {
			holder.lastSequence = event.sequence;
			const isGap = last !== undefined && event.sequence > last + 1;
			holder.trust = isGap ? Math.max(minTrust, holder.trust * trustAfterGap) : holder.trust + ((1 - holder.trust) * trustRecovery);
			this.store(holder, event.stored, now);
		}

		for (const hash of event.evicted) {
			this._remove(hash, holder);
		}
	}

	/** Adds prefixes that the holder has cached or is about to cache. */
	store(holder: PrefixHolder, hashes: readonly number[], now: number): void {
		for (const hash of hashes) {
			const entries = this._entries.get(hash);
			if (entries) {
				// Inserting the prefix again moves it to the end of the eviction order.
				this._entries.delete(hash);
				this._entries.set(hash, entries);
				this._addHolder(entries, holder, now);
			} else {
				this._entries.set(hash, [{holder, at: now}]);
				this._size++;
			}
		}

		while (this._size > this._maxPairs) {
			const [hash, entries] = this._entries.entries().next().value!;
			this._size -= entries.length;
			this._entries.delete(hash);
		}
	}

	/**
	Finds the holders of a prompt's prefixes; `depthOf` then returns the number of blocks that a holder has.

	@returns whether any holder was found.
	*/
	match(hashes: readonly number[], now: number): boolean {
		this._matchId++;
		this._matchedHolders = [];
		// The longest prefixes come first, so that the maximum number of holders cuts off the least useful ones.
		for (let index = hashes.length - 1; index >= 0 && this._matchedHolders.length < this._maxHolders; index--) {
			for (const {holder, at} of this._entries.get(hashes[index]!) ?? none) {
				if (holder.matchId !== this._matchId && holder.isLive && now - at <= this._maxAgeMs) {
					holder.matchId = this._matchId;
					holder.depth = index + 1;
					this._matchedHolders.push(holder);
				}
			}
		}

		return this._matchedHolders.length > 0;
	}

	/** Number of blocks of the last matched prompt that the holder has. */
	depthOf(holder: PrefixHolder): number {
		return holder.matchId === this._matchId ? holder.depth : 0;
	}

	/** Adds or refreshes the entry of a holder; when there are too many, it replaces the oldest or one of a dead incarnation. */
	private _addHolder(entries: Entry[], holder: PrefixHolder, now: number): void {
		let oldest = 0;
		for (const [index, entry] of entries.entries()) {
			if (entry.holder === holder) {
				entry.at = now;
				return;
			}

			if (entry.at < entries[oldest]!.at || !entry.holder.isLive) {
				oldest = index;
			}
		}

		if (entries.length < this._maxHolders) {
			entries.push({holder, at: now});
			this._size++;
		} else {
			entries[oldest] = {holder, at: now};
		}
	}

	private _remove(hash: number, holder: PrefixHolder): void {
		const entries = this._entries.get(hash);
		const index = entries?.findIndex(entry => entry.holder === holder) ?? -1;
		if (!entries || index === -1) {
			return;
		}

		this._size--;
		entries.splice(index, 1);
		if (entries.length === 0) {
			this._entries.delete(hash);
		}
	}
}
