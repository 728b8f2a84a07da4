/** Interval of the leader's heartbeats, in milliseconds. */
export const heartbeatIntervalMs = 100;

/** Minimum election timeout, in milliseconds: six missed heartbeats. */
export const electionTimeoutMinMs = 600;

/** Maximum election timeout, in milliseconds. Two election rounds stay below the 3 s allowed for a new leader. */
export const electionTimeoutMaxMs = 1200;

/** Random jitter of elections after a restart or a deferral, in milliseconds. Much longer than a round trip between zones. */
export const electionJitterMs = 150;

/** Minimum time in milliseconds for which a member defers its election after granting a pre-vote. Covers both voting rounds and two syncs. */
export const electionDeferralMs = 200;

/** Delay in milliseconds from the start of a failed election to the next one. Longer than the time for which other members defer to the candidate. */
export const electionRetryMs = {min: 400, max: 700} as const;

/** Allowed clock drift relative to true time. */
export const maxClockDrift = 0.01;

/**
Duration of the leader lease in milliseconds, counted from the send time of the acknowledged heartbeat.
Followers refuse votes for the minimum election timeout. The lease is shorter, because the leader's clock may be slow while theirs are fast.
*/
export const leaderLeaseMs = electionTimeoutMinMs * (1 - (2 * maxClockDrift));

/** Time in milliseconds after which a write of this member counts as hung. With an election, it stays below the 3 s allowed for a new leader. */
export const hungWriteMs = 1000;

/** Time in milliseconds without a response after which an open group removes a voter, if a replacement has joined. */
export const lostVoterMs = 6000;

/** Time in milliseconds without contact with a leader after which a voter sends hello requests again: it may have been removed from the group. */
export const leaderlessHelloMs = 3000;

/** Timeout of vote, append, transfer and hello calls, in milliseconds. A lost batch is sent again after it. */
export const peerCallTimeoutMs = 500;
