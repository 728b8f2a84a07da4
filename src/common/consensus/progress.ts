/** How a leader sends entries to a member: one probe at a time, a pipeline of batches, or a snapshot. */
export type ProgressMode = 'probe' | 'replicate' | 'snapshot';

/** Replication state of one member, tracked by the leader. */
export class Progress {
	mode: ProgressMode = 'probe';
	/** Index up to which the member has confirmed in this term that it has synced the leader's log. */
	matchIndex = 0;
	/** Number of batches in flight. */
	inFlight = 0;
	/** Send time of the latest request that the member has answered. */
	lastContactAt = -Infinity;
	/** Highest commit index sent to the member. */
	sentCommitIndex = 0;
	/** Set after a failure: nothing is sent before the next heartbeat, so that a failing call is not retried in a tight loop. */
	isPaused = false;
	/** Incremented on each restart; replies to requests from an earlier epoch do not change `inFlight`. */
	epoch = 0;

	constructor(
		public nextIndex: number,
		/** Highest version of commands that the member applies; until it has replied, the one that is assumed. */
		public commandVersion: number,
	) {}

	/** Restarts replication with a probe at `nextIndex`, or at the first unconfirmed entry if that is later. */
	restart(nextIndex: number): void {
		this.mode = 'probe';
		this.epoch++;
		this.inFlight = 0;
		this.nextIndex = Math.max(this.matchIndex + 1, nextIndex);
	}

	/** Records that the member has synced the log up to `matchIndex`. */
	confirm(matchIndex: number): void {
		if (matchIndex > this.matchIndex) {
			this.matchIndex = matchIndex;
		}

		this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
	}
}
