import {type FollowerSection} from '../control/follower-section.js';
import {type EvidenceReport} from './evidence-counters.js';
import {type EvidenceRecorder} from './evidence-recorder.js';
import {evidenceSection, type EvidenceReply} from './evidence-section.js';

/** Reports the counters of this daemon with the renewals, and receives the numbers of rated answers of new versions. */
export class EvidenceReporter implements FollowerSection<EvidenceReport, EvidenceReply> {
	readonly section = evidenceSection;
	private readonly _ratedAnswers = new Map<string, number>();
	private _term: number | undefined;
	/** Whether a report was sent and not acknowledged, so that it may be lost. */
	private _isUnacknowledged = false;

	constructor(private readonly _recorder: EvidenceRecorder) {}

	/** Number of rated answers of a version over all hosts in the leader's last reply about it; 0 if there is none. */
	ratedAnswers(service: string, ref: string): number {
		return this._ratedAnswers.get(`${service}/${ref}`) ?? 0;
	}

	collect(term: number): EvidenceReport | undefined {
		// A new leader has no counters, and a full report replaces a lost one.
		const isFull = term !== this._term || this._isUnacknowledged;
		const changed = this._recorder.incrementalReport();
		const report = isFull ? this._recorder.fullReport() : changed;
		this._isUnacknowledged ||= report !== undefined;
		return report;
	}

	acknowledge(term: number, _sent: EvidenceReport | undefined, reply: EvidenceReply | undefined): void {
		this._term = term;
		this._isUnacknowledged = false;
		for (const [service, ref, rated] of reply?.rated ?? []) {
			this._ratedAnswers.set(`${service}/${ref}`, rated);
		}
	}
}
