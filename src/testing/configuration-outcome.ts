/** Time in milliseconds within which all hosts must act by an acknowledged configuration. */
export const applyBoundMs = 2000;
/** Bytes over the link of an entry host for a change of one time-out and the renewals beside it, whatever the number of routes. */
export const changeBytesBound = 20_000;

/** An order of the operator at a time in milliseconds since the start. */
export interface ConfigurationChange {
	readonly at: number;
	/** Number of routes to add; without it, the time-out of one route changes. */
	readonly routes?: number;
}

/** An acknowledged configuration. */
export interface AcknowledgedChange {
	readonly version: number;
	readonly size: number;
	readonly sentAt: number;
	readonly ackedAt: number;
	/** Time in milliseconds from the acknowledgement until the last host acted by this or a later version. */
	spreadMs: number;
	/** Number of hosts that did so later than `applyBoundMs`. */
	late: number;
}

/** What a played day showed; times in milliseconds. */
export interface ConfigurationOutcome {
	readonly changes: readonly AcknowledgedChange[];
	/** Hosts that lost their lease. */
	readonly lostLeases: number;
	/** Renewals that the leader refused because it must not act as such without its own lease. */
	readonly refusedRenewals: number;
	/** Probes of the leader, one each `probeMs`, that it refused for the same reason. */
	readonly refusedProbes: number;
	/** Longest time until the leader answered a probe. */
	readonly slowestProbeMs: number;
	/** Renewals that got no reply in time. */
	readonly unansweredRenewals: number;
	/** Hosts that led at any time. */
	readonly leaders: readonly string[];
	/** Most bytes over the link of an entry host since the first change of a time-out. */
	readonly changeBytes: number;
	/** Most bytes over the link of an entry host during the play, and bytes that the first leader wrote to its log. */
	readonly entryBytes: number;
	readonly leaderLogBytes: number;
	/** Processor time used by the first leader, of a whole processor, bytes that it sent, and the longest waits for its processor and its link. */
	readonly leaderProcessorMs: number;
	readonly leaderBytes: number;
	readonly leaderProcessorWaitMs: number;
	readonly leaderLinkWaitMs: number;
	/** Longest waits of messages for the processor and the link of an entry host. */
	readonly entryProcessorWaitMs: number;
	readonly entryLinkWaitMs: number;
}

/** What must hold for all hosts in any play. */
export const soundSpread = {
	spreadMs: applyBoundMs, lostLeases: 0, refusedRenewals: 0, refusedProbes: 0, leaders: 1,
};

/** Compares the spread of configurations with its bounds; a value that differs from `soundSpread` breaks one. */
export function judgeSpread({changes, lostLeases, refusedRenewals, refusedProbes, leaders}: ConfigurationOutcome): typeof soundSpread {
	return {
		spreadMs: Math.max(applyBoundMs, ...changes.map(({spreadMs}) => spreadMs)), lostLeases, refusedRenewals, refusedProbes, leaders: leaders.length,
	};
}
