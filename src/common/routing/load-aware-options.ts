/** Options of a `LoadAwareSelector`. */
export interface LoadAwareOptions {
	/** Availability zone of this entry host. */
	readonly zone: string;
	/** Penalty in milliseconds for a server in another availability zone; it must exceed the tie tolerance, or the zone would have no effect. */
	readonly crossZonePenaltyMs?: number;
	/** Multiple of the mean number of requests above which a cached prefix no longer counts for a server. */
	readonly maxLoadRatio?: number;
	/** Candidates whose score is within this share plus this many milliseconds of the best one count as tied. */
	readonly tieToleranceShare?: number;
	readonly tieToleranceMs?: number;
	/** Maximum factor by which herding, the same choice by many entry hosts, may raise the load of a server above the mean until the next report. */
	readonly maxHerding?: number;
}
