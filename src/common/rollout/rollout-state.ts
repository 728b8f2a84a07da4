import {type VersionRef} from '../documents/version-ref.js';

/** Phase of a roll-out. */
export const rolloutPhase = {
	running: 'running',
	paused: 'paused',
	completed: 'completed',
	rolledBack: 'rolled-back',
} as const;
export type RolloutPhase = typeof rolloutPhase[keyof typeof rolloutPhase];

/** Replicated state of the roll-out of a service. */
export interface RolloutState {
	readonly from: VersionRef;
	readonly to: VersionRef;
	readonly phase: RolloutPhase;
	/** Index into the steps of the document. */
	readonly step: number;
	/** Percentage of new sessions and requests on the new version. */
	readonly percentage: number;
	/** Unix milliseconds, by the clock of the proposer, at which the step began or was resumed. */
	readonly since: number;
	/** Milliseconds that the step ran before the last pause. */
	readonly spentMs: number;
	/** Rated answers of the new version over all hosts when the step began. */
	readonly ratedBefore: number;
	/** Why the state changed; a stable code, followed by details after a colon. */
	readonly reason: string;
}

/** Command of the control log that replaces the roll-out state of a service. It is applied only if the current state matches `previous`. */
export interface RolloutStep {
	readonly type: 'rollout-step';
	readonly service: string;
	readonly state: RolloutState;
	/** State that the decision was based on, absent before the first roll-out; the command is stale if the current state differs. */
	readonly previous?: {readonly to: VersionRef; readonly phase: RolloutPhase; readonly step: number};
}

/** Whether a roll-out is still in progress, running or paused. */
export function isActive({phase}: RolloutState): boolean {
	return phase === rolloutPhase.running || phase === rolloutPhase.paused;
}
