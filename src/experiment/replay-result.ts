import {type Histogram} from 'hdr-histogram-js';

/** Results of a policy on a trace. */
export interface ReplayResult {
	readonly policy: string;
	readonly requests: number;
	/** Cost of all attempts, in the unit of the prices. */
	readonly cost: number;
	/** Part of the cost that was spent on answers that were not delivered. */
	readonly discardedCost: number;
	/** Mean rating of the answers to all requests, rated or not, and half the width of its 95 % confidence interval. */
	readonly quality: number;
	readonly qualityInterval: number;
	/** Requests that were answered by a version while it was bad. */
	readonly exposure: number;
	/** Requests that no engine answered. */
	readonly failed: number;
	readonly explored: number;
	/** Number of requested ratings. */
	readonly ratings: number;
	/** Time to the first token of the delivered answer in milliseconds, by urgency; it includes buffered steps. */
	readonly firstToken: ReadonlyMap<string, Histogram>;
	/** Descriptions of the quarantines, with the time in hours. */
	readonly quarantines: readonly string[];
	/** Number of requests by reason of the plan. */
	readonly reasons: ReadonlyMap<string, number>;
	/** Mean rating and mean cost in each time slice of the trace, for the plot. */
	readonly slices: ReadonlyArray<{readonly quality: number; readonly cost: number}>;
}
