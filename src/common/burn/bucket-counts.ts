import {type BurnCountRow} from '../control/burn-sums.js';
import {type BurnBucket} from './burn-section.js';

type Count = {total: number; bad: number; isChanged: boolean};

/** Cumulative counts by time bucket and subject, with a limit on both. */
export class BucketCounts {
	private readonly _buckets = new Map<number, Map<string, Count>>();

	/** Keeps at most `_maxBuckets` buckets of `_maxSubjects` subjects; a subject beyond the limit is counted under its overflow key. */
	constructor(private readonly _maxBuckets: number, private readonly _maxSubjects: number, private readonly _overflowKey: (subject: string) => string) {}

	/** Adds requests to a bucket. */
	add(bucket: number, subject: string, total: number, bad: number): void {
		const count = this._count(bucket, subject);
		count.total += total;
		count.bad += bad;
		count.isChanged = true;
	}

	/** Raises a count to the reported value. Repeated and late reports have no effect. */
	merge(bucket: number, [subject, total, bad]: BurnCountRow): void {
		const count = this._count(bucket, subject);
		count.total = Math.max(count.total, total);
		count.bad = Math.max(count.bad, bad);
	}

	/** Deletes all buckets before the last `_maxBuckets`, counted back from the current one. */
	prune(current: number): void {
		for (const bucket of this._buckets.keys()) {
			if (bucket <= current - this._maxBuckets) {
				this._buckets.delete(bucket);
			}
		}
	}

	/** Deletes one bucket. */
	delete(bucket: number): void {
		this._buckets.delete(bucket);
	}

	/** Numbers of the retained buckets. */
	get buckets(): Iterable<number> {
		return this._buckets.keys();
	}

	/** Rows of one bucket. */
	rows(bucket: number): BurnCountRow[] {
		return [...this._buckets.get(bucket) ?? []].map(([subject, {total, bad}]) => [subject, total, bad]);
	}

	/** Returns the rows that changed since the last call, or all rows if `isFull`. */
	collect(isFull: boolean): BurnBucket[] {
		const buckets: BurnBucket[] = [];
		for (const [bucket, counts] of this._buckets) {
			const rows: BurnCountRow[] = [];
			for (const [subject, count] of counts) {
				if (isFull || count.isChanged) {
					count.isChanged = false;
					rows.push([subject, count.total, count.bad]);
				}
			}

			if (rows.length > 0) {
				buckets.push([bucket, rows]);
			}
		}

		return buckets;
	}

	private _count(bucket: number, subject: string): Count {
		let counts = this._buckets.get(bucket);
		if (!counts) {
			counts = new Map();
			this._buckets.set(bucket, counts);
		}

		const key = counts.has(subject) || counts.size < this._maxSubjects ? subject : this._overflowKey(subject);
		let count = counts.get(key);
		if (!count) {
			count = {total: 0, bad: 0, isChanged: false};
			counts.set(key, count);
		}

		return count;
	}
}
