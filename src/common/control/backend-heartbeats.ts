import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {backendKey, type BackendServer} from './backend-server.js';
import {type ControlCommand} from './control-command.js';
import {type ControlLeadership} from './control-leadership.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {PeriodicSweep} from './periodic-sweep.js';

/** What the heartbeats of backend servers are watched with. */
export interface BackendHeartbeatsOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
}

/**
Time in milliseconds without a heartbeat after which a backend server is dropped from the directory. Entry hosts notice a
dead server by their own requests long before; a server that is only cut off from the control hosts must keep its work.
*/
const silentAfterMs = 15_000;
const sweepIntervalMs = 1000;

/** Watches at the leader that backend servers go on to announce themselves, and drops those that do not. */
export class BackendHeartbeats implements Disposable {
	private readonly _heardAt = new Map<string, number>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _options: BackendHeartbeatsOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, stalledAt => {
			this._drop(stalledAt);
		});
	}

	/** Notes a heartbeat that reached this host. */
	heard(server: Pick<BackendServer, 'id' | 'incarnation'>): void {
		this._heardAt.set(backendKey(server), this._options.clock.now());
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _drop(stalledAt: number): void {
		const {state, leadership, clock} = this._options;
		const {period} = leadership;
		if (!period) {
			return;
		}

		const now = clock.now();
		const since = Math.max(period.since, stalledAt);
		const servers = [...state.backendServers.values()];
		const keys = new Set(servers.map(server => backendKey(server)));
		for (const key of this._heardAt.keys()) {
			if (!keys.has(key)) {
				this._heardAt.delete(key);
			}
		}

		for (const server of servers) {
			const heardAt = Math.max(since, this._heardAt.get(backendKey(server)) ?? since);
			if (now - heardAt >= silentAfterMs) {
				void this._propose(server, now - heardAt);
			}
		}
	}

	private async _propose({id, incarnation}: BackendServer, silentMs: number): Promise<void> {
		const {log, clock, logger} = this._options;
		try {
			await log.propose({
				type: 'backend-silent', id, incarnation, at: clock.wallTime(),
			});
			logger.warn({server: id, incarnation, silentMs}, 'backend server dropped, no heartbeat');
		} catch (error) {
			logger.warn({server: id, incarnation, err: error}, 'silent backend server could not be dropped');
		}
	}
}
