import {type Clock} from '../base/clock.js';
import {type VersionRef} from '../documents/version-ref.js';
import {AlarmBudget, dayMs} from './alarm-budget.js';
import {badRates, healthyRate} from './baseline-rate.js';
import {
	emptyCounters, evidenceKey, evidenceSubject, type EvidenceCounters,
} from './evidence-counters.js';
import {type EvidenceTotals} from './evidence-totals.js';
import {SequentialTest} from './sequential-test.js';

/** Decision to quarantine a version in a request class of a service. */
export interface QuarantineDecision {
	readonly service: string;
	readonly requestClass: string;
	readonly ref: VersionRef;
	/** Evidence in readable form. */
	readonly reason: string;
}

/** Options of a `QuarantineDetector`. */
export interface DetectorSettings {
	/** Probability that a healthy version is quarantined in a day. */
	readonly falseAlarmsPerDay: number;
	/** Expected number of request classes of a version; the false-alarm budget is split over them. */
	readonly classes: number;
	/** Rated answers after which a version without predecessor gets its own history as baseline. */
	readonly ownBaseline: number;
}

/** Default settings: at most 1 false quarantine in 1,000 healthy version-days. */
export const defaultDetectorSettings: DetectorSettings = {falseAlarmsPerDay: 0.001, classes: 4, ownBaseline: 200};

/** Kinds of failure: counter indexes of the trials and of the failures, and the healthy rate assumed without a baseline. */
const failureKinds = [
	{
		name: 'low ratings', trials: 3, failures: 4, assumed: 0.2,
	},
	{
		name: 'failed answers', trials: 0, failures: 1, assumed: 0.02,
	},
	{
		name: 'slow answers', trials: 0, failures: 2, assumed: 0.05,
	},
] as const;

type KeyState = {last: EvidenceCounters; tests: SequentialTest[]; day: number; samples: number[]; ownBaseline?: EvidenceCounters};

/** Runs sequential tests of each version against its predecessor, on the totals over any number of hosts. */
export class QuarantineDetector {
	private readonly _states = new Map<string, KeyState>();
	private readonly _budget: AlarmBudget;

	/**
	@param _predecessorOf - Returns the version that a version replaces in a service, if any.
	*/
	constructor(
		private readonly _clock: Clock,
		private readonly _totals: EvidenceTotals,
		private readonly _predecessorOf: (service: string, ref: VersionRef) => VersionRef | undefined,
		private readonly _settings: DetectorSettings = defaultDetectorSettings,
	) {
		// Factor 2: first and escalated answers are tested separately.
		this._budget = new AlarmBudget(_settings.falseAlarmsPerDay, 2 * _settings.classes * failureKinds.length);
	}

	/** Tests the new evidence of the given keys. @returns the versions to quarantine. */
	update(keys: Iterable<string>): QuarantineDecision[] {
		return [...keys].flatMap(key => this._updateKey(key) ?? []);
	}

	/** Discards the evidence of a key so far, as after the lift of a quarantine. */
	discardEvidence(key: string): void {
		this._states.delete(key);
		this._state(key).last = [...this._totals.total(key)];
	}

	private _updateKey(key: string): QuarantineDecision | undefined {
		const total = this._totals.total(key);
		const state = this._state(key);
		const baseline = this._baseline(key, state);
		let decision: QuarantineDecision | undefined;
		for (const [index, kind] of failureKinds.entries()) {
			const trials = total[kind.trials] - state.last[kind.trials];
			if (trials <= 0) {
				continue;
			}

			const failures = Math.min(trials, total[kind.failures] - state.last[kind.failures]);
			state.samples[index]! += trials;
			const healthy = healthyRate(baseline[kind.failures], baseline[kind.trials], kind.assumed);
			const test = state.tests[index]!;
			test.add(failures, trials - failures, healthy, badRates(healthy));
			const limit = this._budget.threshold(state.samples[index]!);
			if (test.statistic >= limit) {
				const failed = `${kind.name}${evidenceSubject(key).escalated ? ' on escalated requests' : ''}: ${total[kind.failures]} of ${total[kind.trials]}`;
				decision ??= {
					...subjectOf(key),
					reason: `${failed}, healthy up to ${(100 * healthy).toFixed(1)} %; log-likelihood ratio ${test.statistic.toFixed(1)}, limit ${limit.toFixed(1)}`,
				};
			}
		}

		state.last = [...total];
		return decision;
	}

	private _baseline(key: string, state: KeyState): Readonly<EvidenceCounters> {
		const subject = evidenceSubject(key);
		const predecessor = this._predecessorOf(subject.service, subject.ref);
		if (predecessor !== undefined) {
			return this._totals.total(evidenceKey({...subject, ref: predecessor}));
		}

		// A version without predecessor is compared with its own history, frozen so that a slow decline does not shift the baseline.
		const total = this._totals.total(key);
		if (!state.ownBaseline && total[3] >= this._settings.ownBaseline) {
			state.ownBaseline = [...total];
		}

		return state.ownBaseline ?? emptyCounters();
	}

	private _state(key: string): KeyState {
		const day = Math.floor(this._clock.now() / dayMs);
		let state = this._states.get(key);
		if (!state) {
			state = {
				last: emptyCounters(), day, samples: failureKinds.map(() => 0), tests: failureKinds.map(() => new SequentialTest()),
			};
			this._states.set(key, state);
		}

		if (state.day !== day) {
			state.day = day;
			state.samples = failureKinds.map(() => 0);
		}

		return state;
	}
}

function subjectOf(key: string): {service: string; requestClass: string; ref: VersionRef} {
	const {service, requestClass, ref} = evidenceSubject(key);
	return {service, requestClass, ref};
}
