import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type HeldBytes} from '../base/held-bytes.js';
import {type Logger} from '../base/logger.js';
import {type ConfigLease} from '../control/config-lease.js';
import {type ServiceRollout} from '../control/service-rollout.js';
import {type BackendPort} from './backend-port.js';
import {type ColdServers} from './cold-servers.js';
import {type CrashObserver} from './crash-observer.js';
import {type ModelPolicy} from './model-policy.js';
import {type ModelSpeeds} from './model-speeds.js';
import {type PeerHosts} from './peer-hosts.js';
import {type PlaceQueue} from './place-queue.js';
import {type Placement} from './placement.js';
import {type ReleaseObserver} from './release-observer.js';
import {type RepeatBudget} from './repeat-budget.js';
import {type RequestDigest} from './request-digest.js';
import {type RouteTable} from './route-table.js';
import {type ServerPool} from './server-pool.js';
import {type SpeedObserver} from './speed-observer.js';

/** The replicated state on which the forwarding of requests depends. */
export interface ForwardState {
	/** Undefined before the first configuration. */
	readonly table: RouteTable | undefined;
	readonly rollouts: ReadonlyMap<string, ServiceRollout>;
	/** Parts of prompts under quarantine. */
	readonly quarantinedParts: Pick<ReadonlyMap<string, unknown>, 'has' | 'size'>;
	/** Digests of requests under quarantine. */
	readonly quarantinedRequests: Pick<ReadonlyMap<string, unknown>, 'has'>;
	/** Number of hosts that share the connections to backend servers. */
	readonly hostCount: number;
	/** Position of this host among them in the order of their names. */
	readonly hostIndex: number;
}

/** Tracks the sessions that recently ran on the release that a roll-out replaces. */
export interface SessionStickiness {
	/** Records that a session ran on a release that is not the target of a roll-out. */
	recordRequest(session: string): void;
	/** Whether a session recently ran on the old release. */
	isSticky(session: string): boolean;
}

/** Knows whether this host reaches the servers of a service. */
export interface Reach {
	/** Whether this host reaches no server of the service. */
	isLost(service: string): boolean;
	/** Records that a server of the service has answered. */
	recordContact(service: string): void;
	/** Records that a server of the service could not be reached, broke the connection or kept silent. */
	recordFailure(service: string): void;
}

/** Dependencies of `Forwarder`. */
export interface ForwardServices {
	readonly zone: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly counters: Counters;
	readonly lease: ConfigLease;
	/** Maximum time in milliseconds from the acknowledgement of a configuration until all hosts act by it. */
	readonly configurationBoundMs: number;
	/** Asks for a confirmation that the applied configuration is the newest one, as soon as possible. */
	readonly confirmConfiguration: () => void;
	readonly state: () => ForwardState;
	readonly pool: ServerPool;
	readonly port: BackendPort;
	/** Sends requests to other entry hosts. */
	readonly peerPort: BackendPort;
	readonly peers: PeerHosts;
	readonly reach: Reach;
	readonly placement: Placement;
	/** Requests that wait for a connection to a server. */
	readonly places: PlaceQueue;
	/** Limits the requests to cold servers. */
	readonly cold: ColdServers;
	/** Limits the bytes that are held for callers and backend servers. */
	readonly held: HeldBytes;
	readonly models: ModelPolicy;
	readonly speeds: ModelSpeeds;
	/** Learns how fast each server is. */
	readonly serverSpeeds: SpeedObserver;
	readonly observer: ReleaseObserver;
	readonly crashes: CrashObserver;
	readonly digests: RequestDigest;
	readonly sessions: SessionStickiness;
	/** Returns the budget for repeats of the requests of a service. */
	readonly budget: (service: string) => RepeatBudget;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
}
