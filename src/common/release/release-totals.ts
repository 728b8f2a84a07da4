import {type RenewalSender} from '../control/leader-section.js';
import {type ReleaseCounts} from './release-evidence.js';
import {addOutcomes, type Outcomes} from './release-comparison.js';
import {sizeOf} from './value-histogram.js';

/** Sums of the counts of all hosts for one roll-out. Each message changes the sums by what is new in it, so reading them is cheap. */
export class ReleaseTotals {
	private readonly _latest = new Map<string, ReleaseCounts>();
	private readonly _totals = new Map<string, ReleaseCounts>();

	/** Counts by release, route and model. */
	get rows(): Iterable<ReleaseCounts> {
		return this._totals.values();
	}

	/** Adds the cumulative counts of a process. Messages may arrive late and more than once; rows without a message are unchanged. */
	receive({host, incarnation}: RenewalSender, counts: ReleaseCounts): void {
		const key = JSON.stringify([counts.release, counts.route, counts.model]);
		const senderKey = `${host}#${incarnation}/${key}`;
		const known = this._latest.get(senderKey);
		if (known && eventsOf(known) > eventsOf(counts)) {
			return;
		}

		this._latest.set(senderKey, counts);
		const total = this._totals.get(key);
		const news = known ? addOutcomes(counts, known, -1) : counts;
		this._totals.set(key, total ? {...counts, ...addOutcomes(total, news)} : counts);
	}
}

/** Number of recorded events of a row, which grows with each change of it. */
function eventsOf({sent, answers, failures, broken, headMs, paceUs}: Outcomes): number {
	return sent + answers + failures + broken + sizeOf(headMs) + sizeOf(paceUs);
}
