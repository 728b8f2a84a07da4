/** Member of a group of a replicated log. */
export interface Member {
	/** Identity: host name plus a random suffix that is created with the data folder. */
	readonly id: string;
	readonly host: string;
	/** Region of the host; used by the quorum rule of the two-region form. */
	readonly region: string;
	/** A learner receives the log but neither votes nor counts for commits. */
	readonly isVoter: boolean;
	/** Whether the host was added after the group was created and no lost voter has been removed for it yet. */
	readonly isReplacement?: boolean;
}
