/** State of the roll-out of a release of a service. */
export const serviceRolloutState = {
	inProgress: 'in-progress',
	completed: 'completed',
	reverted: 'reverted',
} as const;
export type ServiceRolloutState = typeof serviceRolloutState[keyof typeof serviceRolloutState];

/** Roll-out of a release of a service, finished ones included. */
export interface ServiceRollout {
	readonly service: string;
	/** Release that is to get the traffic. */
	readonly target: string;
	readonly state: ServiceRolloutState;
	/** Share of the sessions that go to the target while in progress. */
	readonly share: number;
	/** Whether sessions that run on the old release keep it. */
	readonly holdsSessions: boolean;
	/** Unix milliseconds of the order at the leader that took it. */
	readonly startedAt: number;
	readonly durationMs: number;
	/** Revision of the order. */
	readonly revision: number;
}
