import {emptyCounters, type EvidenceCounters, type EvidenceReport} from './evidence-counters.js';

/**
Sums of the counters over all incarnations of entry hosts.

Reports of an incarnation are merged by the maximum of each counter, so the order, repetition and loss of
earlier reports do not matter.
*/
export class EvidenceTotals {
	/** Counters by incarnation of a host and by key. */
	private readonly _reports = new Map<string, Map<string, EvidenceCounters>>();
	private readonly _totals = new Map<string, EvidenceCounters>();

	/** Keys that have counters. */
	get keys(): Iterable<string> {
		return this._totals.keys();
	}

	/** Merges a report. @returns the keys whose totals changed. */
	add({host, incarnation, counters}: EvidenceReport): string[] {
		const id = `${host}#${incarnation}`;
		let known = this._reports.get(id);
		if (!known) {
			known = new Map();
			this._reports.set(id, known);
		}

		const changed: string[] = [];
		for (const [key, values] of Object.entries(counters)) {
			if (this._merge(known, key, values)) {
				changed.push(key);
			}
		}

		return changed;
	}

	/** Total counters of a key. */
	total(key: string): Readonly<EvidenceCounters> {
		return this._totals.get(key) ?? emptyCounters();
	}

	private _merge(known: Map<string, EvidenceCounters>, key: string, values: EvidenceCounters): boolean {
		const before = known.get(key) ?? emptyCounters();
		const total = this._totals.get(key) ?? emptyCounters();
		let changed = false;
		for (const [index, value] of values.entries()) {
			const growth = value - before[index]!;
			if (growth > 0) {
				before[index] = value;
				total[index]! += growth;
				changed = true;
			}
		}

		known.set(key, before);
		this._totals.set(key, total);
		return changed;
	}
}
