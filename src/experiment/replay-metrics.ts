import {build, type Histogram} from 'hdr-histogram-js';
import {type ReplayResult} from './replay-result.js';

const sliceCount = 48;

/** Collects the metrics of a replay. */
export class ReplayMetrics {
	exposure = 0;
	failed = 0;
	explored = 0;
	ratings = 0;
	readonly quarantines: string[] = [];
	private _requests = 0;
	private _cost = 0;
	private _discarded = 0;
	private _rating = 0;
	private _ratingSquares = 0;
	private readonly _reasons = new Map<string, number>();
	private readonly _firstToken = new Map<string, Histogram>();
	private readonly _slices = Array.from({length: sliceCount}, () => ({quality: 0, cost: 0, count: 0}));

	constructor(private readonly _policy: string, private readonly _endMs: number) {}

	addPlan(reason: string): void {
		this._reasons.set(reason, (this._reasons.get(reason) ?? 0) + 1);
		this.explored += reason === 'explore' ? 1 : 0;
	}

	addAttempt(at: number, cost: number, delivered: boolean): void {
		this._cost += cost;
		this._discarded += delivered ? 0 : cost;
		this._slice(at).cost += cost;
	}

	/** Records the end of a request; without an answer its rating is 0. */
	addAnswer(at: number, urgency: string, rating: number, firstTokenMs?: number): void {
		this._requests++;
		this._rating += rating;
		this._ratingSquares += rating * rating;
		const slice = this._slice(at);
		slice.count++;
		slice.quality += rating;
		if (firstTokenMs === undefined) {
			this.failed++;
			return;
		}

		let histogram = this._firstToken.get(urgency);
		if (!histogram) {
			histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3});
			this._firstToken.set(urgency, histogram);
		}

		histogram.recordValue(Math.max(1, Math.round(firstTokenMs)));
	}

	result(): ReplayResult {
		const quality = this._rating / this._requests;
		const variance = (this._ratingSquares / this._requests) - (quality * quality);
		return {
			policy: this._policy, requests: this._requests, cost: this._cost, discardedCost: this._discarded,
			quality, qualityInterval: 1.96 * Math.sqrt(variance / this._requests),
			exposure: this.exposure, failed: this.failed, explored: this.explored, ratings: this.ratings,
			firstToken: this._firstToken, quarantines: this.quarantines, reasons: this._reasons,
			slices: this._slices.map(({quality, cost, count}) => ({quality: quality / Math.max(1, count), cost: cost / Math.max(1, count)})),
		};
	}

	private _slice(at: number) {
		return this._slices[Math.min(sliceCount - 1, Math.floor(at / this._endMs * sliceCount))]!;
	}
}
