import {type ServiceDocument} from '../documents/service-document.js';
import {type VersionRef} from '../documents/version-ref.js';
import {RolloutActiveError} from './rollout-error.js';
import {
	isActive, rolloutPhase, type RolloutPhase, type RolloutState, type RolloutStep,
} from './rollout-state.js';

/** Section `rollout` of a service document. */
export type RolloutSection = NonNullable<ServiceDocument['rollout']>;

/** Everything that the next step depends on. */
export interface RolloutInput {
	readonly service: string;
	/** Absent when the section was removed from the document. */
	readonly section?: RolloutSection;
	/** Replicated state; absent before the first roll-out of the service. */
	readonly state?: RolloutState;
	readonly withdrawn: readonly VersionRef[];
	/** Request classes of the service for which the new version is quarantined. */
	readonly quarantinedClasses: readonly string[];
	/** Rated answers of the new version over all hosts. */
	readonly rated: number;
	/** Whether the capacity for the next step is loaded and warm. */
	readonly hasCapacityForStep: boolean;
	/** Unix milliseconds at the leader. */
	readonly now: number;
}

/**
Decides the next step of a roll-out. It is stateless, so a new leader continues from the replicated step.

A quarantine of the new version for any request class causes a rollback, because the old version is known to serve all
classes.
*/
export class RolloutController {
	/** Returns the command to propose, or undefined when no change is due. */
	decide(input: RolloutInput): RolloutStep | undefined {
		const {state, section} = input;
		if (state && isActive(state)) {
			return this._continue(input, state);
		}

		const finished = section !== undefined && state?.to === section.to && state.from === section.from;
		if (!section || finished || section.paused || !input.hasCapacityForStep || this._stopReason(input, section.from, section.to) !== undefined) {
			return undefined;
		}

		return this._enterStep(input, section, 0, 'started');
	}

	/**
	Checks a document change against the roll-out in progress.

	@throws RolloutActiveError when the section names another pair of versions.
	*/
	check(state: RolloutState | undefined, section: RolloutSection | undefined): void {
		if (state && isActive(state) && section && (section.to !== state.to || section.from !== state.from)) {
			throw new RolloutActiveError(`the roll-out from ${state.from} to ${state.to} is at ${state.percentage} %; end it before another one`);
		}
	}

	private _continue(input: RolloutInput, state: RolloutState): RolloutStep | undefined {
		const {section, now} = input;
		const stop = this._stopReason(input, state.from, state.to);
		if (stop !== undefined) {
			return this._change(input, state, {phase: rolloutPhase.rolledBack, percentage: 0, reason: stop});
		}

		// `check` refuses a section for another pair of versions; if one is accepted nevertheless, it must not control this roll-out.
		if (section?.to !== state.to || section.from !== state.from) {
			return this._change(input, state, {phase: rolloutPhase.rolledBack, percentage: 0, reason: 'section-removed'});
		}

		if (section.paused !== (state.phase === rolloutPhase.paused)) {
			return section.paused
				? this._change(input, state, {
					phase: rolloutPhase.paused, spentMs: this._spentMs(state, now), since: now, reason: 'paused',
				})
				: this._change(input, state, {phase: rolloutPhase.running, since: now, reason: 'resumed'});
		}

		return state.phase === rolloutPhase.running && this._areGatesPassed(input, section, state) ? this._advance(input, section, state) : undefined;
	}

	private _advance(input: RolloutInput, section: RolloutSection, state: RolloutState): RolloutStep | undefined {
		if (state.step + 1 < section.steps.length) {
			return input.hasCapacityForStep ? this._enterStep(input, section, state.step + 1, 'gates-passed') : undefined;
		}

		return this._change(input, state, {phase: rolloutPhase.completed, reason: 'gates-passed'});
	}

	private _areGatesPassed({rated, now}: RolloutInput, section: RolloutSection, state: RolloutState): boolean {
		// The totals of a new leader start at zero until the hosts have reported, which only delays the gate.
		return this._spentMs(state, now) >= section.stepSeconds * 1000 && rated - state.ratedBefore >= section.minRated;
	}

	private _spentMs(state: RolloutState, now: number): number {
		// The clock of a new leader may be behind that of the old one.
		return state.spentMs + (state.phase === rolloutPhase.running ? Math.max(0, now - state.since) : 0);
	}

	private _stopReason({withdrawn, quarantinedClasses}: RolloutInput, from: VersionRef, to: VersionRef): string | undefined {
		if (withdrawn.includes(to)) {
			return 'withdrawn';
		}

		if (quarantinedClasses.length > 0) {
			return `quarantined: ${quarantinedClasses.join(', ')}`;
		}

		return from === to ? 'same-version' : undefined;
	}

	private _enterStep(input: RolloutInput, section: RolloutSection, step: number, reason: string): RolloutStep {
		const {state} = input;
		return {
			type: 'rollout-step',
			service: input.service,
			previous: state && previousOf(state),
			state: {
				from: section.from, to: section.to, phase: rolloutPhase.running, step, percentage: section.steps[step]!,
				since: input.now, spentMs: 0, ratedBefore: input.rated, reason,
			},
		};
	}

	private _change(input: RolloutInput, state: RolloutState, change: Partial<RolloutState>): RolloutStep {
		return {
			type: 'rollout-step', service: input.service, previous: previousOf(state), state: {...state, ...change},
		};
	}
}

function previousOf({to, phase, step}: RolloutState): {to: VersionRef; phase: RolloutPhase; step: number} {
	return {to, phase, step};
}
