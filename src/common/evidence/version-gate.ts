import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type ControlView} from '../control/control-view.js';
import {PeriodicSweep} from '../control/periodic-sweep.js';
import {type VersionRef} from '../documents/version-ref.js';
import {isActive, rolloutPhase} from '../rollout/rollout-state.js';
import {rolloutVersion} from '../rollout/rollout-version.js';
import {type EvidenceRecorder} from './evidence-recorder.js';
import {type EvidenceReporter} from './evidence-reporter.js';
import {LocalDetector} from './local-detector.js';
import {UnratedCap} from './unrated-cap.js';

/** Dependencies of a `VersionGate`. */
export interface VersionGateServices {
	readonly host: string;
	readonly clock: Clock;
	readonly view: ControlView;
	readonly recorder: EvidenceRecorder;
	readonly reporter: EvidenceReporter;
}

/** Request for which versions are allowed or rejected. */
export interface GateRequest {
	readonly service: string;
	readonly requestClass: string;
	/** Session id, or the request id for a request without session. */
	readonly key: string;
}

/** Rated answers from which the cap on unrated answers of a new version no longer applies. */
const requiredRatings = 300;
const detectIntervalMs = 1000;
/** Duration in milliseconds of a local quarantine that the leader does not confirm. */
const localQuarantineMs = 60_000;

/** Restricts the versions for requests of this entry host by local quarantines, roll-outs and the cap on unrated answers. */
export class VersionGate implements Disposable {
	private readonly _cap: UnratedCap;
	private readonly _detector: LocalDetector;
	/** Local quarantines with their end and the last lift known at their start; a later lift ends them. */
	private readonly _localQuarantines = new Map<string, {endsAt: number; liftedAt: number | undefined}>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _services: VersionGateServices) {
		const {clock, host, recorder, view} = _services;
		this._cap = new UnratedCap(clock, host);
		this._detector = new LocalDetector(clock, recorder, (service, ref) => {
			const state = view.rollouts.get(service);
			return state?.to === ref ? state.from : undefined;
		}, (service, requestClass, ref) => view.liftedAt(service, requestClass, ref));
		this._sweep = new PeriodicSweep(clock, detectIntervalMs, () => {
			this._detect();
		});
	}

	/** Whether a new request or session may use a version, in addition to the rules of documents and quarantines. */
	allows({service, requestClass, key}: GateRequest, ref: VersionRef): boolean {
		if (this._isLocallyQuarantined(service, requestClass, ref)) {
			return false;
		}

		const {rollouts, documents} = this._services.view;
		const state = rollouts.get(service);
		const section = documents.get(service)?.document.rollout;
		const hasNoRollout = state === undefined || (section === undefined && !isActive(state));
		if (hasNoRollout || (ref !== state.from && ref !== state.to)) {
			// A new version gets no requests before its roll-out starts.
			return section?.to !== ref;
		}

		if (state.phase === rolloutPhase.completed) {
			return ref === state.to;
		}

		const assigned = rolloutVersion(service, state, key);
		const usesNew = assigned === state.to && !this._isLocallyQuarantined(service, requestClass, assigned) && this._isWithinCap(service, assigned);
		return ref === (usesNew ? state.to : state.from);
	}

	/** Records that an attempt was sent to a version. */
	recordSent(service: string, ref: VersionRef, attemptId: string): void {
		const state = this._services.view.rollouts.get(service);
		if (state?.to === ref && isActive(state)) {
			this._cap.recordSent(`${service}/${ref}`, attemptId);
		}
	}

	/** Records that an attempt was rated or failed. */
	recordSettled(service: string, ref: VersionRef, attemptId: string): void {
		this._cap.recordSettled(`${service}/${ref}`, attemptId);
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _isWithinCap(service: string, ref: VersionRef): boolean {
		const {view, reporter} = this._services;
		const rated = reporter.ratedAnswers(service, ref);
		return rated >= requiredRatings || this._cap.allows(`${service}/${ref}`, rated, [...view.entryHosts.keys()]);
	}

	private _isLocallyQuarantined(service: string, requestClass: string, ref: VersionRef): boolean {
		const quarantine = this._localQuarantines.get(`${service}/${requestClass}/${ref}`);
		return quarantine !== undefined && quarantine.endsAt > this._services.clock.now() && quarantine.liftedAt === this._services.view.liftedAt(service, requestClass, ref);
	}

	private _detect(): void {
		for (const {service, requestClass, ref} of this._detector.update()) {
			this._localQuarantines.set(`${service}/${requestClass}/${ref}`, {
				endsAt: this._services.clock.now() + localQuarantineMs, liftedAt: this._services.view.liftedAt(service, requestClass, ref),
			});
		}
	}
}
