import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Logger} from '../base/logger.js';
import {type ConfigLease} from '../control/config-lease.js';
import {type ServiceRollout} from '../control/service-rollout.js';
import {type RetryBudget} from '../entry/retry-budget.js';
import {type BackendPort} from './backend-port.js';
import {type ModelPolicy} from './model-policy.js';
import {type Placement} from './placement.js';
import {type ReleaseObserver} from './release-observer.js';
import {type RouteTable} from './route-table.js';
import {type ServerPool} from './server-pool.js';

/** The state of this host that decides about requests; everything in it changes with the configuration. */
export interface ForwardState {
	/** Undefined before the first configuration. */
	readonly table: RouteTable | undefined;
	readonly rollouts: ReadonlyMap<string, ServiceRollout>;
	/** Hosts among which the connections to backend servers are divided. */
	readonly hostCount: number;
}

/** Remembers which sessions ran on the release that a roll-out replaces. */
export interface SessionMemory {
	/** Notes that a session ran on a release that no roll-out is bringing in. */
	note(session: string): void;
	isHeld(session: string): boolean;
}

/** What requests are forwarded with. */
export interface ForwardServices {
	readonly zone: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly counters: Counters;
	readonly lease: ConfigLease;
	readonly state: () => ForwardState;
	readonly pool: ServerPool;
	readonly port: BackendPort;
	readonly placement: Placement;
	readonly models: ModelPolicy;
	readonly observer: ReleaseObserver;
	readonly sessions: SessionMemory;
	/** Budget of retries of a service. */
	readonly budget: (service: string) => RetryBudget;
	/** Number in [0, 1). */
	readonly random: () => number;
}
