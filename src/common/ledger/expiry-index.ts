/** Width of a bucket in milliseconds. An id may be kept up to this much longer than requested. */
const bucketMs = 600_000;

/**
Finds ids that have not been used since a given time. Ids are grouped by last use into buckets of ten minutes. A use
within the same bucket changes nothing, and expiry never searches the whole set.
*/
export class ExpiryIndex {
	private _lastExpiredBucket = -1;
	private readonly _buckets = new Map<number, Set<string>>();

	/** Moves the id from the bucket of its previous use, if any, to the bucket of the new use. */
	move(id: string, from: number | undefined, to: number): void {
		const target = bucketOf(to);
		if (from !== undefined) {
			if (bucketOf(from) === target) {
				return;
			}

			this.remove(id, from);
		}

		let bucket = this._buckets.get(target);
		if (!bucket) {
			bucket = new Set();
			this._buckets.set(target, bucket);
		}

		bucket.add(id);
	}

	remove(id: string, at: number): void {
		const bucket = this._buckets.get(bucketOf(at));
		if (bucket?.delete(id) && bucket.size === 0) {
			this._buckets.delete(bucketOf(at));
		}
	}

	/** Removes and returns all ids whose bucket ended at or before the time. */
	takeBefore(time: number): string[] {
		const ids: string[] = [];
		const current = bucketOf(time);
		if (current === this._lastExpiredBucket) {
			return ids;
		}

		this._lastExpiredBucket = current;
		// At most 24 hours of buckets exist, so there are about 150.
		for (const [start, bucket] of this._buckets) {
			if (start < current) {
				ids.push(...bucket);
				this._buckets.delete(start);
			}
		}

		return ids;
	}

	/** Removes and returns the ids of the oldest bucket if none of them was used since the time; otherwise returns none. */
	takeOldest(usedBefore: number): string[] {
		let oldest = Number.POSITIVE_INFINITY;
		for (const start of this._buckets.keys()) {
			oldest = Math.min(oldest, start);
		}

		const bucket = oldest < bucketOf(usedBefore) ? this._buckets.get(oldest) : undefined;
		this._buckets.delete(bucket ? oldest : Number.NaN);
		return [...bucket ?? []];
	}

	clear(): void {
		this._buckets.clear();
		this._lastExpiredBucket = -1;
	}
}

function bucketOf(at: number): number {
	return Math.floor(at / bucketMs);
}
