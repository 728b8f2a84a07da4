import {type RandomSource} from '../common/base/random-source.js';

/** What is done to a part of the system. */
export const soakAction = {
	entryKill: 'entry-kill',
	entryPause: 'entry-pause',
	entryStop: 'entry-stop',
	entryLink: 'entry-link',
	controlKill: 'control-kill',
	controlPause: 'control-pause',
	controlStop: 'control-stop',
	controlTear: 'control-tear',
	controlWipe: 'control-wipe',
	engineCrash: 'engine-crash',
	engineDrain: 'engine-drain',
	engineMood: 'engine-mood',
	engineLink: 'engine-link',
	hangUp: 'hang-up',
} as const;

/** A value of `soakAction`. */
export type SoakAction = typeof soakAction[keyof typeof soakAction];

/** One disturbance: what, when, to which of its kind, and for how long. Times in milliseconds from the start of the load. */
export interface SoakStep {
	readonly action: SoakAction;
	readonly at: number;
	readonly target: number;
	readonly forMs: number;
}

/** Planned work, which alone must not disturb callers. */
const plannedActions: readonly SoakAction[] = [soakAction.entryStop, soakAction.controlStop, soakAction.engineDrain, soakAction.hangUp];
/** Seeds that play planned work only: each third one. */
const plannedOnlyEach = 3;
/** Disturbances in ten seconds. */
const stepsInTenSeconds = 12;
/** Planned steps are so far apart that the one before has ended. */
const plannedStepsInTenSeconds = 3;
const leastMs = 200;
const mostMs = 4000;

/** Whether a seed plays planned work only. */
export function isPlannedOnly(seed: number): boolean {
	return seed % plannedOnlyEach === 0;
}

/** Disturbances of a seed, in order of time; they overlap. */
export function planSoak(seed: number, random: RandomSource, durationMs: number): SoakStep[] {
	const isPlanned = isPlannedOnly(seed);
	const actions = isPlanned ? plannedActions : Object.values(soakAction);
	const count = Math.round(durationMs / 10_000 * (isPlanned ? plannedStepsInTenSeconds : stepsInTenSeconds));
	return Array.from({length: count}, (_, index) => ({
		action: actions[random.integer(actions.length)]!,
		at: isPlanned ? Math.floor(index * durationMs / count) : random.integer(durationMs),
		target: random.integer(100),
		forMs: leastMs + random.integer(mostMs - leastMs),
	})).sort((a, b) => a.at - b.at);
}
