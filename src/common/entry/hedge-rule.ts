/** Conditions for a hedge: a second attempt that runs in parallel with the first. */
export interface HedgeConditions {
	readonly idempotent: boolean;
	/** Whether the first token of the running attempt has arrived. */
	readonly firstToken: boolean;
	/** Number of running attempts; a request has at most one hedge. */
	readonly running: number;
	/** Time in milliseconds since the running attempt was sent. */
	readonly waitedMs: number;
	/** 95th percentile of the time to first token of the version, in milliseconds; undefined while unknown. */
	readonly firstTokenP95Ms: number | undefined;
	/** Time left until the deadline in milliseconds. */
	readonly remainingMs: number;
	/** Whether the retry budget allows another attempt. */
	readonly hasBudget: boolean;
}

/** Returns whether a hedge should be sent now. */
export function shouldHedge(conditions: HedgeConditions): boolean {
	const p95 = conditions.firstTokenP95Ms;
	return conditions.idempotent && !conditions.firstToken && conditions.running === 1 && conditions.hasBudget
		&& p95 !== undefined && conditions.waitedMs >= p95 && conditions.remainingMs > 0;
}
