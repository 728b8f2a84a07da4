import {type Clock} from '../common/base/clock.js';
import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';
import {EvidenceRecorder} from '../common/evidence/evidence-recorder.js';
import {EvidenceTotals} from '../common/evidence/evidence-totals.js';
import {type EvidenceSubject} from '../common/evidence/evidence-counters.js';
import {QuarantineDetector, type QuarantineDecision} from '../common/evidence/quarantine-detector.js';
import {UnratedCap} from '../common/evidence/unrated-cap.js';
import {RolloutController} from '../common/rollout/rollout-controller.js';
import {type RolloutState} from '../common/rollout/rollout-state.js';
import {rolloutVersion} from '../common/rollout/rollout-version.js';
import {type AttemptOutcome} from '../common/routing/attempt-outcome.js';
import {type TraceHeader} from './trace.js';

/** Roll-out, evidence and quarantine of one service on its entry hosts, as the hosts and the leader run them. */
export class VersionGuard {
	private readonly _onQuarantine = new Emitter<QuarantineDecision>();
	private readonly _totals = new EvidenceTotals();
	private readonly _detector: QuarantineDetector;
	private readonly _controller = new RolloutController();
	private readonly _quarantined = new Map<string, QuarantineDecision>();
	private readonly _hosts: string[];
	private readonly _recorders: EvidenceRecorder[];
	private readonly _caps: UnratedCap[];
	private _rollout: RolloutState | undefined;

	constructor(private readonly _clock: Clock, private readonly _header: TraceHeader, hosts: number) {
		const replaces = new Map(_header.versions.map(({ref, replaces}) => [ref, replaces]));
		this._detector = new QuarantineDetector(_clock, this._totals, (_, ref) => replaces.get(ref));
		this._hosts = Array.from({length: hosts}, (_, index) => `entry-${index}`);
		this._recorders = this._hosts.map(host => new EvidenceRecorder(host, 1));
		this._caps = this._hosts.map(host => new UnratedCap(_clock, host));
	}

	/** Fires with each quarantine. */
	get onQuarantine(): Event<QuarantineDecision> {
		return this._onQuarantine.event;
	}

	/** Versions that a request may use on a host; `key` is its session or request id. */
	candidates(host: number, requestClass: string, key: string): string[] {
		const {rollout} = this._header;
		return this._header.versions.map(({ref}) => ref).filter(ref => {
			if (!rollout || (ref !== rollout.from && ref !== rollout.to)) {
				return !this.isQuarantined(requestClass, ref);
			}

			return ref === this._chooseRolloutVersion(host, requestClass, key);
		});
	}

	isQuarantined(requestClass: string, ref: string): boolean {
		return this._quarantined.has(`${requestClass}|${ref}`);
	}

	/** Probability that an answer is rated; all answers of a new version are rated. */
	ratingProbability(host: number, ref: string, planned: number): number {
		return planned > 0 && ref === this._header.rollout?.to && this._caps[host]!.isNew(this._rated(ref)) ? 1 : planned;
	}

	/** Records that an attempt was sent to the new version of the roll-out; ignores other versions. */
	recordSent(host: number, outcome: Pick<AttemptOutcome, 'attemptId' | 'ref'>): void {
		if (outcome.ref === this._header.rollout?.to) {
			this._caps[host]!.recordSent(outcome.ref, outcome.attemptId);
		}
	}

	/** Records an attempt or its rating. */
	observe(host: number, outcome: AttemptOutcome): void {
		const subject: EvidenceSubject = {
			service: outcome.service, requestClass: outcome.requestClass, ref: outcome.ref, escalated: outcome.step > 0,
		};
		const recorder = this._recorders[host]!;
		if (outcome.rating === undefined) {
			recorder.addAnswer(subject, outcome);
		} else {
			recorder.addRating(subject, outcome.rating);
		}

		if (outcome.rating !== undefined || outcome.result !== 'answered') {
			this._caps[host]!.recordSettled(outcome.ref, outcome.attemptId);
		}
	}

	/** Runs one renewal of each host and the resulting decisions of the leader. */
	renew(): void {
		const changed = new Set(this._recorders.flatMap(recorder => {
			const report = recorder.incrementalReport();
			return report ? this._totals.add(report) : [];
		}));
		for (const decision of this._detector.update(changed)) {
			const key = `${decision.requestClass}|${decision.ref}`;
			if (!this._quarantined.has(key)) {
				this._quarantined.set(key, decision);
				this._onQuarantine.fire(decision);
			}
		}

		this._stepRollout();
	}

	private _chooseRolloutVersion(host: number, requestClass: string, key: string): string {
		const rollout = this._header.rollout!;
		const wanted = this._rollout ? rolloutVersion(this._header.service, this._rollout, key) : rollout.from;
		if (wanted === rollout.from || this.isQuarantined(requestClass, wanted)) {
			return rollout.from;
		}

		return this._caps[host]!.allows(wanted, this._rated(wanted), this._hosts) ? wanted : rollout.from;
	}

	private _stepRollout(): void {
		const {rollout, service} = this._header;
		if (!rollout || this._clock.now() < rollout.at) {
			return;
		}

		const command = this._controller.decide({
			service, section: {...rollout, paused: false}, state: this._rollout, withdrawn: [], hasCapacityForStep: true, now: this._clock.wallTime(),
			quarantinedClasses: [...this._quarantined.values()].filter(({ref}) => ref === rollout.to).map(({requestClass}) => requestClass),
			rated: this._rated(rollout.to),
		});
		this._rollout = command?.state ?? this._rollout;
	}

	private _rated(ref: string): number {
		let rated = 0;
		for (const key of this._totals.keys) {
			if (key.split('|')[2] === ref) {
				rated += this._totals.total(key)[3];
			}
		}

		return rated;
	}
}
