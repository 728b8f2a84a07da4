import {type EstimateSet} from './estimate-store.js';
import {addQualitySums, type QualitySums} from './quality-controller.js';
import {mergeEstimates} from './version-estimate.js';

/** Learnt state of a host, as compact JSON. */
export interface LearntState {
	readonly estimates: EstimateSet;
	/** Realised quality by service. */
	readonly quality: Readonly<Record<string, QualitySums>>;
}

/** Cumulative learnt state of one incarnation of a host. */
export interface LearntReport extends LearntState {
	readonly host: string;
	readonly incarnation: number;
	/** Incremented at each report of the incarnation. */
	readonly sequence: number;
}

/** Learnt state of a system without any traffic. */
export const emptyLearntState: LearntState = {estimates: {}, quality: {}};

/** Sum of the learnt states of two hosts or groups of hosts; commutative. */
export function mergeLearnt(a: LearntState, b: LearntState, halfLifeMs: number): LearntState {
	return {
		estimates: mergeRecords(a.estimates, b.estimates, (x, y) => mergeEstimates(x, y, halfLifeMs)),
		quality: mergeRecords(a.quality, b.quality, addQualitySums),
	};
}

/** Learnt state of all entry hosts, kept by the leader. Reports are cumulative, so repeated and stale reports are ignored. */
export class EstimateTotals {
	private readonly _reports = new Map<string, LearntReport>();

	/**
	@param _stored - State that was written to the control log, from incarnations that no longer report.
	*/
	constructor(private readonly _halfLifeMs: number, private readonly _stored: LearntState = emptyLearntState) {}

	/** Replaces the state of an incarnation unless a newer report is known. */
	add(report: LearntReport): void {
		const key = `${report.host}#${report.incarnation}`;
		const last = this._reports.get(key);
		if (!last || last.sequence < report.sequence) {
			this._reports.set(key, report);
		}
	}

	/** Sum over all hosts except the given incarnation; over all hosts when none is given. */
	totalExcluding(host?: string, incarnation?: number): LearntState {
		let total = this._stored;
		for (const report of this._reports.values()) {
			if (report.host !== host || report.incarnation !== incarnation) {
				total = mergeLearnt(total, report, this._halfLifeMs);
			}
		}

		return total;
	}
}

function mergeRecords<Value>(a: Readonly<Record<string, Value>>, b: Readonly<Record<string, Value>>, merge: (x: Value, y: Value) => Value): Record<string, Value> {
	const total: Record<string, Value> = {...a};
	for (const [key, value] of Object.entries(b)) {
		const present = total[key];
		total[key] = present === undefined ? value : merge(present, value);
	}

	return total;
}
