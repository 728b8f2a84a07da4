/** State of the roll-out of a release of a service. */
export const serviceRolloutState = {
	inProgress: 'in-progress',
	completed: 'completed',
	reverted: 'reverted',
} as const;
export type ServiceRolloutState = typeof serviceRolloutState[keyof typeof serviceRolloutState];

/** Roll-out of a release of a service, in progress or finished. */
export interface ServiceRollout {
	readonly service: string;
	/** Release that the traffic moves to. */
	readonly target: string;
	/** Releases that earlier roll-outs of the service reverted; their servers may still be listed. Absent in records of older builds. */
	readonly rejected?: readonly string[];
	readonly state: ServiceRolloutState;
	/** Share of the sessions that go to the target while the roll-out is in progress. */
	readonly share: number;
	/** Whether existing sessions stay on the old release. */
	readonly holdsSessions: boolean;
	/** Unix milliseconds of the start command, by the clock of the leader that accepted it. */
	readonly startedAt: number;
	readonly durationMs: number;
	/** Revision of the start command. */
	readonly revision: number;
}

/** Whether an earlier roll-out of the service reverted a release. */
export function isRejected({rejected}: Pick<ServiceRollout, 'rejected'>, release: string | undefined): boolean {
	return release !== undefined && rejected?.includes(release) === true;
}
