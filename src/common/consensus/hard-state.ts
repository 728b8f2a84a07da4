/** Raft state that must be synced before any reply that depends on it. */
export interface HardState {
	readonly term: number;
	/** Identity of the candidate for which this member voted in the term. */
	readonly vote?: string;
}
