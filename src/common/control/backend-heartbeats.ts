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

/** Dependencies of `BackendHeartbeats`. */
export interface BackendHeartbeatsOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
}

/**
Heartbeat timeout in milliseconds, after which a backend server is removed from the directory. Entry hosts detect a dead
server much earlier by their own requests; a server that cannot reach the control hosts but still serves entry hosts must
keep its traffic.
*/
const heartbeatTimeoutMs = 15_000;
const sweepIntervalMs = 1000;

/** Removes backend servers from the directory, on the leader, when their heartbeats stop. */
export class BackendHeartbeats implements Disposable {
	private readonly _lastHeartbeatAt = new Map<string, number>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _options: BackendHeartbeatsOptions) {
		this._sweep = new PeriodicSweep(_options.clock, sweepIntervalMs, stalledAt => {
			this._removeSilent(stalledAt);
		});
	}

	/** Records a heartbeat received by this host. */
	recordHeartbeat(server: Pick<BackendServer, 'id' | 'incarnation'>): void {
		this._lastHeartbeatAt.set(backendKey(server), this._options.clock.now());
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private _removeSilent(stalledAt: number): void {
		const {state, leadership, clock} = this._options;
		const {period} = leadership;
		if (!period) {
			return;
		}

		const now = clock.now();
		const since = Math.max(period.since, stalledAt);
		const servers = [...state.backendServers.values()];
		const keys = new Set(servers.map(server => backendKey(server)));
		for (const key of this._lastHeartbeatAt.keys()) {
			if (!keys.has(key)) {
				this._lastHeartbeatAt.delete(key);
			}
		}

		for (const server of servers) {
			const lastHeartbeatAt = Math.max(since, this._lastHeartbeatAt.get(backendKey(server)) ?? since);
			if (now - lastHeartbeatAt >= heartbeatTimeoutMs) {
				void this._proposeRemoval(server, now - lastHeartbeatAt);
			}
		}
	}

	private async _proposeRemoval({id, incarnation}: BackendServer, silentMs: number): Promise<void> {
		const {log, clock, logger} = this._options;
		try {
			await log.propose({
				type: 'backend-silent', id, incarnation, at: clock.wallTime(),
			});
			logger.warn({server: id, incarnation, silentMs}, 'backend server removed, no heartbeat');
		} catch (error) {
			logger.warn({server: id, incarnation, err: error}, 'silent backend server could not be removed');
		}
	}
}
