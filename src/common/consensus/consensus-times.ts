/** Interval of the leader's heartbeats, in milliseconds. */
export const heartbeatIntervalMs = 100;

/** Shortest election timeout, in milliseconds: six missed heartbeats. */
export const electionTimeoutMinMs = 600;

/** Longest election timeout, in milliseconds. Two rounds of election stay below the 3 s allowed for a new leader. */
export const electionTimeoutMaxMs = 1200;

/** Range in milliseconds over which members that restart spread their first election; wide against a round trip between zones. */
export const restartSpreadMs = 150;

/** Least time in milliseconds for which a member that supports another's candidacy holds its own back: both rounds of votes and two syncs. */
export const candidacyYieldMs = 200;

/** Range in milliseconds from the start of a candidacy in which the next one begins when it fails; longer than others hold theirs back for it. */
export const candidacyRetryMs = {least: 400, most: 700} as const;

/** Allowed drift of a clock against true time. */
export const maxClockDrift = 0.01;

/**
Duration of the leader lease in milliseconds, from the moment the confirmed heartbeat was sent.
Followers refuse votes for the shortest election timeout; the leader's clock may be slow while theirs are fast.
*/
export const leaderLeaseMs = electionTimeoutMinMs * (1 - (2 * maxClockDrift));

/** Time in milliseconds without an answer after which an open group removes a voter for which a replacement has joined. */
export const lostVoterMs = 6000;

/** Time in milliseconds without a leader after which a voter presents itself again: it may have been removed meanwhile. */
export const lonelyVoterMs = 3000;

/** Timeout of a vote or append call, in milliseconds; a lost batch is sent again after it. */
export const peerCallTimeoutMs = 500;
