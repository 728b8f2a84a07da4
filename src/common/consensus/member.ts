/** Member of a replicated log's group. */
export interface Member {
	/** Identity: the host name plus a random suffix that is generated with the data folder. */
	readonly id: string;
	readonly host: string;
	/** Region of the host, used by `RegionMajorityRule`. */
	readonly region: string;
	/** Whether the member is a voter. A learner receives the log, but neither votes nor counts towards commits. */
	readonly isVoter: boolean;
	/** Set if the host joined after the group was created and has not yet replaced a lost voter. */
	readonly isReplacement?: boolean;
}
