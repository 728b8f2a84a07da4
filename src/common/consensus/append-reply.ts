/** Reply to an append request. `matchIndex` covers only synced entries. */
export interface AppendReply {
	readonly term: number;
	readonly isAccepted: boolean;
	/** If accepted: index up to which the log is synced and matches the leader's log. */
	readonly matchIndex: number;
	/** If not accepted: index at which the leader should retry. */
	readonly nextIndex: number;
	/** Highest version of commands that the member applies; absent in replies of earlier software versions, which apply version 1. */
	readonly commandVersion?: number;
}
