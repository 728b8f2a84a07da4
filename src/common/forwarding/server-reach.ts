import {type ConnectionCheck} from '../base/address-check.js';
import {type Clock} from '../base/clock.js';
import {type Counters} from '../base/counters.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type Reach} from './forward-services.js';
import {type ServerPool} from './server-pool.js';

/** Dependencies of `ServerReach`. */
export interface ServerReachOptions {
	readonly clock: Clock;
	readonly pool: ServerPool;
	readonly addresses: ConnectionCheck;
	readonly logger: Logger;
	readonly counters: Counters;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
}

type ServiceReach = {
	isLost: boolean;
	isChecking: boolean;
	/** Time of the last answer of a server. */
	contactAt: number;
	/** Time of the last check that found a server. */
	foundAt: number;
	timer: Disposable | undefined;
};

/** Maximum number of servers of a service to which one check connects, before the links count as lost and while they do. */
const maxChecked = {reachable: 8, lost: 2} as const;
/** Minimum interval in milliseconds between two checks of a service. */
const checkIntervalMs = 500;

/**
Knows whether this host reaches any server of a service. After a failed attempt it connects to servers of the service; when none
accepts a connection and none answers meanwhile, the links are lost until one accepts a connection again.
*/
export class ServerReach implements Reach, Disposable {
	private readonly _services = new Map<string, ServiceReach>();
	private _isDisposed = false;

	constructor(private readonly _options: ServerReachOptions) {}

	/** Whether this host reaches no server of the service. */
	isLost(service: string): boolean {
		return this._services.get(service)?.isLost ?? false;
	}

	/** Records that a server of the service has answered. */
	recordContact(service: string): void {
		this._reach(service).contactAt = this._options.clock.now();
	}

	/** Records that a server of the service could not be reached, broke the connection or kept silent. */
	recordFailure(service: string): void {
		const reach = this._reach(service);
		if (!reach.isLost && !reach.isChecking && this._options.clock.now() - reach.foundAt >= checkIntervalMs) {
			void this._check(service, reach);
		}
	}

	dispose(): void {
		this._isDisposed = true;
		for (const {timer} of this._services.values()) {
			timer?.dispose();
		}
	}

	private _reach(service: string): ServiceReach {
		let reach = this._services.get(service);
		if (!reach) {
			reach = {
				isLost: false, isChecking: false, contactAt: -Infinity, foundAt: -Infinity, timer: undefined,
			};
			this._services.set(service, reach);
		}

		return reach;
	}

	private async _check(service: string, reach: ServiceReach): Promise<void> {
		const {clock, logger, counters} = this._options;
		const startedAt = clock.now();
		reach.isChecking = true;
		const checked = this._sample(service, reach.isLost ? maxChecked.lost : maxChecked.reachable);
		const isFound = checked.length === 0 || await this._acceptsAny(checked);
		reach.isChecking = false;
		if (this._isDisposed) {
			return;
		}

		const now = clock.now();
		const isLost = !isFound && reach.contactAt < startedAt;
		reach.foundAt = isLost ? reach.foundAt : now;
		if (isLost !== reach.isLost) {
			reach.isLost = isLost;
			counters.increment('forward.reach-changes', 1, {service, reach: isLost ? 'lost' : 'regained'});
			logger.warn({
				service, checked, ms: Math.round(now - startedAt), lastAnswerMs: Number.isFinite(reach.contactAt) ? Math.round(now - reach.contactAt) : undefined,
			}, isLost ? 'no server of the service is reachable, requests go to other hosts' : 'servers of the service are reachable again');
		}

		if (isLost) {
			reach.timer = clock.setTimer(checkIntervalMs, () => {
				void this._check(service, reach);
			});
		}
	}

	/** Returns the addresses of random servers of a service. */
	private _sample(service: string, count: number): string[] {
		const {pool, random} = this._options;
		return pool.openServers(service)
			.map(({server}) => ({address: server.address, order: random()}))
			.sort((left, right) => left.order - right.order)
			.slice(0, count)
			.map(({address}) => address);
	}

	/** Resolves as soon as one address accepts a connection, or when all have been checked. */
	private async _acceptsAny(checked: readonly string[]): Promise<boolean> {
		return new Promise(resolve => {
			let left = checked.length;
			const check = async (address: string) => {
				if (await this._options.addresses.acceptsConnections(address)) {
					resolve(true);
				}

				left--;
				if (left === 0) {
					resolve(false);
				}
			};

			for (const address of checked) {
				void check(address);
			}
		});
	}
}
