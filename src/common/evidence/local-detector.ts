import {type Clock} from '../base/clock.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type EvidenceRecorder} from './evidence-recorder.js';
import {EvidenceTotals} from './evidence-totals.js';
import {LiftedQuarantineFilter, type LiftedAt} from './lifted-quarantine-filter.js';
import {QuarantineDetector, type QuarantineDecision} from './quarantine-detector.js';

/** Detector on the evidence of one entry host; it can act before the evidence reaches the leader. */
export class LocalDetector {
	private readonly _totals = new EvidenceTotals();
	private readonly _detector: QuarantineDetector;
	private readonly _filter: LiftedQuarantineFilter;

	constructor(clock: Clock, private readonly _recorder: EvidenceRecorder, predecessorOf: (service: string, ref: VersionRef) => VersionRef | undefined, liftedAt: LiftedAt = () => undefined) {
		this._detector = new QuarantineDetector(clock, this._totals, predecessorOf);
		this._filter = new LiftedQuarantineFilter(this._detector, liftedAt);
	}

	/** Tests the evidence recorded since the last call. */
	update(): QuarantineDecision[] {
		return this._detector.update(this._filter.select(this._totals.add(this._recorder.fullReport())));
	}
}
