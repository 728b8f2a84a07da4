import {type VersionRef} from '../documents/version-ref.js';
import {evidenceSubject} from './evidence-counters.js';
import {type QuarantineDetector} from './quarantine-detector.js';

/** Returns the revision at which a quarantine was last lifted, if any. */
export type LiftedAt = (service: string, requestClass: string, ref: VersionRef) => number | undefined;

/** Discards evidence from before the lift of a quarantine, so that the next answer does not set the quarantine again. */
export class LiftedQuarantineFilter {
	/** Revision of the lift for which the evidence of a key was discarded, by key. */
	private readonly _discarded = new Map<string, number>();

	constructor(private readonly _detector: QuarantineDetector, private readonly _liftedAt: LiftedAt) {}

	/** Selects the keys whose new evidence counts. With `mayPredateLift`, the evidence may be older than the last lift. */
	select(keys: readonly string[], mayPredateLift = false): string[] {
		return keys.filter(key => !this._discard(key, mayPredateLift));
	}

	private _discard(key: string, mayPredateLift: boolean): boolean {
		const {service, requestClass, ref} = evidenceSubject(key);
		const revision = this._liftedAt(service, requestClass, ref);
		if (revision === undefined || (this._discarded.get(key) === revision && !mayPredateLift)) {
			return false;
		}

		this._discarded.set(key, revision);
		this._detector.discardEvidence(key);
		return true;
	}
}
