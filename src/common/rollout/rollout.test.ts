import {describe, expect, it} from 'vitest';
import {RolloutController, type RolloutInput} from './rollout-controller.js';
import {RolloutActiveError} from './rollout-error.js';
import {type RolloutState} from './rollout-state.js';
import {rolloutVersion} from './rollout-version.js';

const controller = new RolloutController();
const section = {
	from: 'm@1', to: 'm@2', steps: [1, 25, 100], stepSeconds: 10, minRated: 5, paused: false,
};
const running: RolloutState = {
	from: 'm@1', to: 'm@2', phase: 'running', step: 0, percentage: 1, since: 1000, spentMs: 0, ratedBefore: 100, reason: 'started',
};
const gatesPassed: RolloutInput = {
	service: 's', section, state: running, withdrawn: [], quarantinedClasses: [], rated: 105, hasCapacityForStep: true, now: 11_000,
};

describe('RolloutController', () => {
	// Guards against steps taken too early or after a fault, and against a roll-out that stops or restarts on its own.
	it.each<[string, Partial<RolloutInput>, Partial<RolloutState> | undefined]>([
		['starts at the first step', {state: undefined}, {
			phase: 'running', step: 0, percentage: 1, ratedBefore: 105,
		}],
		['does not start without capacity', {state: undefined, hasCapacityForStep: false}, undefined],
		['does not start paused', {state: undefined, section: {...section, paused: true}}, undefined],
		['does not start a withdrawn version', {state: undefined, withdrawn: ['m@2']}, undefined],
		['advances when all gates are passed', {}, {
			phase: 'running', step: 1, percentage: 25, since: 11_000,
		}],
		['waits until the step has lasted long enough', {now: 10_999}, undefined],
		['waits for rated answers', {rated: 104}, undefined],
		['waits for capacity', {hasCapacityForStep: false}, undefined],
		['waits when the clock of a new leader is behind', {now: 0}, undefined],
		['completes after the last step', {state: {...running, step: 2, percentage: 100}}, {phase: 'completed', percentage: 100}],
		['pauses', {section: {...section, paused: true}, now: 4000}, {phase: 'paused', percentage: 1, spentMs: 3000}],
		['resumes with the time already spent', {state: {...running, phase: 'paused', spentMs: 3000}}, {phase: 'running', since: 11_000, spentMs: 3000}],
		['stays paused', {section: {...section, paused: true}, state: {...running, phase: 'paused'}}, undefined],
		['rolls back on a withdrawal', {withdrawn: ['m@2']}, {phase: 'rolled-back', percentage: 0, reason: 'withdrawn'}],
		['rolls back on a quarantine', {quarantinedClasses: ['a']}, {phase: 'rolled-back', percentage: 0, reason: 'quarantined: a'}],
		['rolls back while paused', {state: {...running, phase: 'paused'}, withdrawn: ['m@2']}, {phase: 'rolled-back'}],
		['rolls back when the section is removed', {section: undefined}, {phase: 'rolled-back', reason: 'section-removed'}],
		['does not restart after a roll-back', {state: {...running, phase: 'rolled-back', percentage: 0}}, undefined],
		['does not restart after completion', {state: {...running, phase: 'completed'}}, undefined],
		['starts the next pair after the last ended', {state: {...running, phase: 'completed'}, section: {...section, from: 'm@2', to: 'm@3'}}, {to: 'm@3', step: 0}],
	])('%s', (_, change, expected) => {
		const command = controller.decide({...gatesPassed, ...change});
		if (expected) {
			expect(command?.state).toMatchObject(expected);
		} else {
			expect(command).toBeUndefined();
		}
	});

	// Guards against a new leader that restarts a roll-out or repeats a step.
	it('continues from the replicated step whichever leader decides', () => {
		const first = controller.decide(gatesPassed)!;
		expect(first.previous).toEqual({to: 'm@2', phase: 'running', step: 0});
		expect(new RolloutController().decide({
			...gatesPassed, state: first.state, now: 20_999, rated: 110,
		})).toBeUndefined();
		expect(new RolloutController().decide({
			...gatesPassed, state: first.state, now: 21_000, rated: 110,
		})!.state.step).toBe(2);
	});

	// Guards against two roll-outs of one service at the same time.
	it.each<[string, RolloutState | undefined, string, boolean]>([
		['another one during a roll-out', running, 'm@3', true],
		['another one during a pause', {...running, phase: 'paused'}, 'm@3', true],
		['a change of the same one', running, 'm@2', false],
		['another one after a roll-back', {...running, phase: 'rolled-back'}, 'm@3', false],
		['the first one', undefined, 'm@2', false],
	])('checks %s', (_, state, to, refused) => {
		const check = () => {
			controller.check(state, {...section, to});
		};

		if (refused) {
			expect(check).toThrow(RolloutActiveError);
		} else {
			expect(check).not.toThrow();
		}
	});
});

describe('rolloutVersion', () => {
	const keys = Array.from({length: 2000}, (_, index) => `session-${index}`);
	const onNew = (percentage: number, phase: RolloutState['phase'] = 'running') => keys.filter(key => rolloutVersion('s', {...running, percentage, phase}, key) === 'm@2');

	// Guards against sessions that move back to the old version as the percentage grows.
	it('keeps keys on the new version as the percentage grows', () => {
		const [few, many] = [onNew(5), onNew(25)];
		expect(few.length).toBeGreaterThan(60);
		expect(few.length).toBeLessThan(140);
		expect(many).toEqual(expect.arrayContaining(few));
		expect(onNew(100)).toHaveLength(keys.length);
		expect(onNew(0)).toEqual([]);
	});

	// Guards against traffic on a rolled-back version.
	it('uses the old version after a roll-back', () => {
		expect(onNew(100, 'rolled-back')).toEqual([]);
	});
});
