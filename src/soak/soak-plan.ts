import {type RandomSource} from '../common/base/random-source.js';

/** Kinds of disturbances: faults and planned work. */
export const soakAction = {
	/** Kills an entry host and restarts it. */
	entryKill: 'entry-kill',
	/** Suspends an entry host with SIGSTOP. */
	entryPause: 'entry-pause',
	/** Stops an entry host as planned and restarts it. */
	entryStop: 'entry-stop',
	/** Disturbs the connections between callers and an entry host. */
	entryLink: 'entry-link',
	/** Kills a control host and restarts it. */
	controlKill: 'control-kill',
	/** Suspends a control host with SIGSTOP. */
	controlPause: 'control-pause',
	/** Stops a control host as planned and restarts it. */
	controlStop: 'control-stop',
	/** Kills a control host, leaves an incomplete write in its log and restarts it. */
	controlTear: 'control-tear',
	/** Kills a control host, deletes its data and restarts it. */
	controlWipe: 'control-wipe',
	/** Crashes an engine without notice and restarts it under a new id, sometimes for another service. */
	engineCrash: 'engine-crash',
	/** Drains an engine and restarts it under a new id. */
	engineDrain: 'engine-drain',
	/** Makes an engine fail, hang or truncate its answers. */
	engineMode: 'engine-mood',
	/** Disturbs the connections between entry hosts and an engine. */
	engineLink: 'engine-link',
	/** Sends SIGHUP to an entry host and a control host, which reload their settings, also while they start or stop. */
	reloadSettings: 'hang-up',
	/** Stops a host as planned and sends signals to it while it starts again. */
	earlySignals: 'early-signals',
} as const;

/** A value of `soakAction`. */
export type SoakAction = typeof soakAction[keyof typeof soakAction];

/** One disturbance. Times are in milliseconds; `at` counts from the start of the load. */
export interface SoakStep {
	readonly action: SoakAction;
	readonly at: number;
	/** Number from which the affected host, engine or link is chosen, modulo their count. */
	readonly target: number;
	readonly durationMs: number;
}

/** Planned work, which must not affect callers unless there are faults as well. */
const plannedActions: readonly SoakAction[] = [soakAction.entryStop, soakAction.controlStop, soakAction.engineDrain, soakAction.reloadSettings, soakAction.earlySignals];
/** Additional work in overloaded seeds, so that backend servers leave while requests wait for them. */
const leaves: readonly SoakAction[] = [soakAction.engineDrain, soakAction.engineDrain, soakAction.engineDrain];
/** Every third seed has planned work only. */
const plannedOnlyInterval = 3;
/** Number of disturbances in ten seconds. */
const stepsPerTenSeconds = 12;
/** Number of planned steps in ten seconds; some of them overlap. */
const plannedStepsPerTenSeconds = 6;
/** Every sixth seed has callers that ask for more than the engines accept; it has planned work only. */
const overloadInterval = 6;
/** Range of the durations of disturbances in milliseconds. */
const minStepMs = 200;
const maxStepMs = 4000;

/** Whether a seed has planned work only, without faults. */
export function isPlannedOnly(seed: number): boolean {
	return seed % plannedOnlyInterval === 0;
}

/** Whether callers of a seed ask for more than the backend servers accept. */
export function isOverloaded(seed: number): boolean {
	return seed % overloadInterval === 0;
}

/** Plans the disturbances of a seed, in order of time; they may overlap. */
export function planSoak(seed: number, random: RandomSource, durationMs: number): SoakStep[] {
	const isPlanned = isPlannedOnly(seed);
	const planned = isOverloaded(seed) ? [...plannedActions, ...leaves] : plannedActions;
	const actions = isPlanned ? planned : Object.values(soakAction);
	const count = Math.round(durationMs / 10_000 * (isPlanned ? plannedStepsPerTenSeconds : stepsPerTenSeconds));
	return Array.from({length: count}, (_, index) => ({
		action: actions[random.integer(actions.length)]!,
		at: isPlanned ? Math.floor(index * durationMs / count) : random.integer(durationMs),
		target: random.integer(100),
		durationMs: minStepMs + random.integer(maxStepMs - minStepMs),
	})).sort((a, b) => a.at - b.at);
}
