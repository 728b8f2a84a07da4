/** Rate of a customer in requests and tokens per second. An absent field means no limit. */
export interface BudgetRate {
	readonly requests?: number;
	readonly tokens?: number;
}

/** Limit of the customer with the given key. */
export interface BudgetLimit {
	readonly key: string;
	readonly limit: BudgetRate;
}

/** Demand and current grant of one customer at one entry host. */
export interface BudgetDemand {
	readonly key: string;
	/** Requests and tokens per second that callers requested, including refused ones. */
	readonly demand: {readonly requests: number; readonly tokens: number};
	/** Grant that the entry host holds now; a new leader renews it while grants of the previous leader may be in use. */
	readonly held: BudgetRate;
}

/** Number of a grant: the term of the leader, and a sequence number within that term. */
export interface GrantNumber {
	readonly term: number;
	readonly sequence: number;
}

/** Section of a renewal that requests budgets. */
export interface BudgetReport {
	readonly host: string;
	readonly incarnation: number;
	/** Last applied grant; the entry host no longer uses older ones. */
	readonly applied: GrantNumber;
	readonly demands: readonly BudgetDemand[];
}

/** Budgets of one entry host. They replace those of any lower number and are valid until the lease expires. */
export interface BudgetGrant {
	readonly number: GrantNumber;
	/** Lease duration in milliseconds, counted from the time at which the entry host sent the report. */
	readonly leaseMs: number;
	/**
	Whether the entry host must not exceed the grant that it holds on arrival. A new leader sets this while grants of the
	previous leader may be in use, because the report may be older than the last grant of the previous leader.
	*/
	readonly atMostHeld: boolean;
	readonly budgets: ReadonlyArray<{readonly key: string; readonly rate: BudgetRate}>;
}

/** Compares grants by age; negative if `a` is older than `b`. */
export function compareGrants(a: GrantNumber, b: GrantNumber): number {
	return a.term - b.term || a.sequence - b.sequence;
}
