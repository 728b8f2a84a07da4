import {type EvidenceCounters, evidenceKey} from '../../src/common/evidence/evidence-counters.js';
import {EvidenceTotals} from '../../src/common/evidence/evidence-totals.js';
import {heapUsed} from '../ledger/bench-support.js';

/** Cost at the leader of the evidence from a number of entry host incarnations. */
export interface EvidenceSample {
	readonly incarnations: number;
	readonly heapBytes: number;
	readonly addUs: number;
}

const keys = Array.from({length: 128}, (_, index) => evidenceKey({
	service: 'service-0', requestClass: `class-${index % 4}`, ref: `model@v${Math.floor(index / 8)}`, escalated: index % 8 >= 4,
}));

/** Measures the heap of the totals and the time to add a full report, with all keys of 16 versions and 4 request classes. */
export function measureEvidence(): EvidenceSample[] {
	return [50, 100, 200, 370, 690].map(incarnations => {
		const reports = Array.from({length: incarnations}, (_, incarnation) => JSON.stringify({
			host: 'entry-1', incarnation, counters: Object.fromEntries(keys.map(key => [key, [100, 1, 2, 10, 1] satisfies EvidenceCounters])),
		}));
		const before = heapUsed();
		const totals = new EvidenceTotals();
		const start = performance.now();
		for (const report of reports) {
			totals.add(JSON.parse(report) as Parameters<EvidenceTotals['add']>[0]);
		}

		const addUs = (performance.now() - start) * 1000 / incarnations;
		const heapBytes = heapUsed() - before;
		if (totals.total(keys[0]!)[0] !== incarnations * 100) {
			throw new Error('the evidence totals do not include all reports');
		}

		return {incarnations, heapBytes, addUs};
	});
}
