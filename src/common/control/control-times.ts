/** Duration of a configuration lease in milliseconds: four renewal intervals. Four missed renewals indicate a fault rather than a stall. */
export const leaseMs = 4000;
/** Maximum clock drift between two hosts that leases tolerate, as a fraction. */
export const maxDrift = 0.01;
/** Time in milliseconds for which the leader treats a lease as valid, counted from its reply: the lease duration plus the maximum drift. */
export const leaderLeaseMs = leaseMs * (1 + maxDrift);
/** Interval in milliseconds between the renewals of a daemon. */
export const renewIntervalMs = 1000;
/** Time in milliseconds for which the leader holds a renewal when it has nothing new to send. Sections such as budgets get their replies at the end of it. */
export const renewHoldMs = 500;
/** The same for daemons that fetch routing configurations: nearly the interval, so that they hear of a change at once. They need no replies of sections by then. */
export const maxRenewHoldMs = 900;
/** Interval in milliseconds between two moments at which the leader answers all held renewals, for each host that renews. A renewal takes 0.6 ms of a processor, so bursts of changes leave most of a small one free. */
export const wakeIntervalMsPerHost = 3;
/** Time in milliseconds that a renewal may take in addition to its hold. */
export const renewNetworkMs = 500;
/** Minimum interval in milliseconds between two renewals; also the first interval between a renewal that returned new entries and the renewal that confirms them. */
export const minRenewIntervalMs = 50;
/** Maximum interval in milliseconds between renewals while each returns new entries; it limits the load on the leader during a burst of commits. */
export const maxConfirmIntervalMs = 400;
/** Timeout in milliseconds of one attempt to propose a command: two election timeouts. */
export const proposeTimeoutMs = 1200;
/** Time in milliseconds without an announcement after which a backend server is reported as silent. */
export const backendSilentMs = 3000;
/** Time in milliseconds without an announcement at any entry host after which a backend server expires. */
export const backendExpiryMs = 10_000;
/** Retention time in milliseconds of the tombstone of an incarnation that has left. */
export const tombstoneMs = 3_600_000;
/** Default of the time in milliseconds after its acknowledgement at which a routing configuration must be in force. */
export const defaultConfigurationBoundMs = 2000;
/** Part of that time in milliseconds that is left to requests and clocks; a daemon does not act by a replaced configuration for longer than the rest. */
export const configurationBoundMarginMs = 500;
