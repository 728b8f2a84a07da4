import {
	emptyCounters, evidenceKey, type EvidenceCounters, type EvidenceReport, type EvidenceSubject,
} from './evidence-counters.js';

/** Thresholds beyond which an answer counts against its version. */
export interface EvidenceThresholds {
	/** Ratings below this are low. */
	readonly lowRating: number;
	/** Time to first token in milliseconds above which an answer is slow. */
	readonly slowFirstTokenMs: number;
	/** Time between tokens in milliseconds above which an answer is slow. */
	readonly slowBetweenTokensMs: number;
}

/** Default thresholds, used for all services. */
export const defaultEvidenceThresholds: EvidenceThresholds = {lowRating: 0.5, slowFirstTokenMs: 5000, slowBetweenTokensMs: 200};

/** Counts the answers on one incarnation of an entry host. */
export class EvidenceRecorder {
	private readonly _counters = new Map<string, EvidenceCounters>();
	private _changed = new Set<string>();

	constructor(private readonly _host: string, private readonly _incarnation: number, private readonly _thresholds: EvidenceThresholds = defaultEvidenceThresholds) {}

	/** Counts an answer, without its rating. */
	addAnswer(subject: EvidenceSubject, answer: {result: string; firstTokenMs: number; betweenTokensMs: number}): void {
		const counters = this._countersOf(subject);
		const isSlow = answer.firstTokenMs > this._thresholds.slowFirstTokenMs || answer.betweenTokensMs > this._thresholds.slowBetweenTokensMs;
		counters[0] += 1;
		counters[1] += answer.result === 'answered' ? 0 : 1;
		counters[2] += isSlow ? 1 : 0;
	}

	/** Counts a rating for the version that gave the answer; the rating may arrive late. */
	addRating(subject: EvidenceSubject, rating: number): void {
		const counters = this._countersOf(subject);
		counters[3] += 1;
		counters[4] += rating < this._thresholds.lowRating ? 1 : 0;
	}

	/** All counters, for a new leader. */
	fullReport(): EvidenceReport {
		return {host: this._host, incarnation: this._incarnation, counters: structuredClone(Object.fromEntries(this._counters))};
	}

	/** Counters changed since the last call, if any. A lost report is compensated by the next change of the same counters or by a full report. */
	incrementalReport(): EvidenceReport | undefined {
		if (this._changed.size === 0) {
			return undefined;
		}

		const counters = Object.fromEntries([...this._changed].map(key => [key, [...this._counters.get(key)!] as EvidenceCounters]));
		this._changed = new Set();
		return {host: this._host, incarnation: this._incarnation, counters};
	}

	private _countersOf(subject: EvidenceSubject): EvidenceCounters {
		const key = evidenceKey(subject);
		let counters = this._counters.get(key);
		if (!counters) {
			counters = emptyCounters();
			this._counters.set(key, counters);
		}

		this._changed.add(key);
		return counters;
	}
}
