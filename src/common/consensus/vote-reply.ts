/** Reply to a vote request. */
export interface VoteReply {
	readonly term: number;
	readonly isGranted: boolean;
}
