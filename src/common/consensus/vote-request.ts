/** Vote request of a candidate. */
export interface VoteRequest {
	readonly term: number;
	/** Identity of the candidate. */
	readonly from: string;
	/** Identity of the voter. */
	readonly to: string;
	readonly lastIndex: number;
	readonly lastTerm: number;
	/** A pre-vote asks whether the vote would be granted; it does not change the voter's term or vote. */
	readonly isPreVote: boolean;
	/** Set for a leadership transfer: the vote may be granted although the leader is still alive. */
	readonly isTransfer: boolean;
}
