import {evidenceSubject, emptyCounters, type EvidenceCounters} from './evidence-counters.js';
import {type EvidenceTotals} from './evidence-totals.js';
import {type QuarantineDecision} from './quarantine-detector.js';

/** Baseline: quarantines a version when the share of low ratings in a window exceeds a fixed limit. */
export class FixedRateDetector {
	private readonly _starts = new Map<string, EvidenceCounters>();

	constructor(private readonly _totals: EvidenceTotals, private readonly _limit: number, private readonly _window: number) {}

	/** Checks the given keys whose window is full. */
	update(keys: Iterable<string>): QuarantineDecision[] {
		return [...keys].flatMap(key => {
			const start = this._starts.get(key) ?? emptyCounters();
			const total = this._totals.total(key);
			const rated = total[3] - start[3];
			if (rated < this._window) {
				return [];
			}

			this._starts.set(key, [...total]);
			const share = (total[4] - start[4]) / rated;
			const {service, requestClass, ref} = evidenceSubject(key);
			return share > this._limit
				? [{
					service, requestClass, ref, reason: `${(100 * share).toFixed(0)} % low ratings of ${rated}`,
				}]
				: [];
		});
	}
}
