import {type EvidenceSubject} from '../evidence/evidence-counters.js';
import {type EvidenceRecorder} from '../evidence/evidence-recorder.js';
import {type VersionGate} from '../evidence/version-gate.js';
import {type AttemptOutcome} from '../routing/attempt-outcome.js';
import {type CascadePolicy, type PlanContext} from '../routing/cascade-policy.js';
import {type Plan} from '../routing/plan.js';
import {type RequestObserver} from './request-observer.js';

/** Cascade policy that delegates to another one and records the outcomes as evidence about the versions. */
export class ObservingPolicy implements CascadePolicy {
	constructor(private readonly _policy: CascadePolicy, private readonly _recorder: EvidenceRecorder, private readonly _gate: VersionGate, private readonly _observer: RequestObserver) {}

	plan(context: PlanContext): Plan {
		return this._policy.plan(context);
	}

	observe(outcome: AttemptOutcome): void {
		const {service, requestClass, ref, step, attemptId, rating, result} = outcome;
		const subject: EvidenceSubject = {
			service, requestClass, ref, escalated: step > 0,
		};
		if (rating === undefined) {
			this._recorder.addAnswer(subject, outcome);
			// An answer that is not sent for rating stays unrated and counts against the limit of the gate.
			this._gate.recordSent(service, ref, attemptId);
		} else {
			this._recorder.addRating(subject, rating);
			this._observer.rated(outcome);
		}

		if (rating !== undefined || result !== 'answered') {
			this._gate.recordSettled(service, ref, attemptId);
		}

		this._policy.observe(outcome);
	}
}
