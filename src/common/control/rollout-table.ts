import {type ServiceDocument} from '../documents/service-document.js';
import {isActive, type RolloutState, type RolloutStep} from '../rollout/rollout-state.js';
import {type ControlResult} from './control-result.js';

/** Roll-outs of model versions by service, part of the control state. */
export class RolloutTable {
	private readonly _states = new Map<string, RolloutState>();

	get states(): ReadonlyMap<string, RolloutState> {
		return this._states;
	}

	/** Refuses a document that starts a roll-out of other versions while one is in progress. */
	check({service, rollout}: ServiceDocument): ControlResult | undefined {
		const state = this._states.get(service);
		if (!state || !isActive(state) || !rollout || (rollout.from === state.from && rollout.to === state.to)) {
			return undefined;
		}

		return {status: 'rejected', code: 'rollout-active', message: `the roll-out of ${service} from ${state.from} to ${state.to} is at ${state.percentage} %; end it before another one`};
	}

	/** Applies a step unless the state has changed since the decision. */
	step(index: number, {service, state, previous}: RolloutStep): ControlResult {
		const current = this._states.get(service);
		if (current?.to !== previous?.to || current?.phase !== previous?.phase || current?.step !== previous?.step) {
			return {status: 'ignored', reason: 'the roll-out has moved on'};
		}

		this._states.set(service, state);
		return {status: 'accepted', revision: index};
	}

	/** Deletes the roll-out of a removed service. */
	remove(service: string): void {
		this._states.delete(service);
	}

	snapshot(): Array<[string, RolloutState]> {
		return [...this._states];
	}

	restore(states: ReadonlyArray<[string, RolloutState]>): void {
		this._states.clear();
		for (const [service, state] of states) {
			this._states.set(service, state);
		}
	}
}
