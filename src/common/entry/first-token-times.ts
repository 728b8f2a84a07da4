import {type VersionRef} from '../documents/version-ref.js';

/** Number of times kept per version: enough for a 95th percentile, and few enough to follow a change of load quickly. */
const maxTimes = 128;
/** Number of times needed for a percentile; with fewer than 20 the 95th percentile is the maximum. */
const minTimes = 20;
/** Number of new times after which the percentile is recomputed. */
const refreshEvery = 16;
const percentile = 0.95;
/** Maximum number of versions; the least recently updated one is evicted. */
const maxVersions = 256;

type Times = {readonly values: number[]; next: number; sinceRefresh: number; p95: number | undefined};

/** Estimates the 95th percentile of the time to first token of each version. */
export class FirstTokenTimes {
	private readonly _times = new Map<VersionRef, Times>();

	/** Records a time to first token in milliseconds. */
	record(ref: VersionRef, firstTokenMs: number): void {
		const times = this._times.get(ref) ?? {
			values: [], next: 0, sinceRefresh: 0, p95: undefined,
		};
		this._times.delete(ref);
		this._times.set(ref, times);
		if (this._times.size > maxVersions) {
			const [oldest] = this._times.keys();
			this._times.delete(oldest!);
		}

		times.values[times.next] = firstTokenMs;
		times.next = (times.next + 1) % maxTimes;
		times.sinceRefresh++;
		if (times.values.length >= minTimes && (times.p95 === undefined || times.sinceRefresh >= refreshEvery)) {
			const sorted = times.values.toSorted((a, b) => a - b);
			times.p95 = sorted[Math.ceil(percentile * sorted.length) - 1];
			times.sinceRefresh = 0;
		}
	}

	/** 95th percentile in milliseconds; undefined until enough times are recorded. */
	p95(ref: VersionRef): number | undefined {
		return this._times.get(ref)?.p95;
	}
}
