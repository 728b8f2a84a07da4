import {type Clock} from '../base/clock.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type Logger} from '../base/logger.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {type ReplicatedLog} from '../consensus/replicated-log.js';
import {backendKey, type BackendServer} from './backend-server.js';
import {type ControlCommand} from './control-command.js';
import {type ControlLeadership} from './control-leadership.js';
import {heartbeatsMethod} from './control-methods.js';
import {type ControlResult} from './control-result.js';
import {type ControlState} from './control-state.js';
import {HeartbeatReports} from './heartbeat-reports.js';
import {type LeaderClient} from './leader-client.js';
import {PeriodicSweep} from './periodic-sweep.js';

/** Dependencies of `BackendHeartbeats`. */
export interface BackendHeartbeatsOptions {
	readonly log: ReplicatedLog<ControlCommand, ControlResult>;
	readonly state: ControlState;
	readonly leadership: ControlLeadership;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly transport: PeerTransport;
	readonly leaderClient: LeaderClient;
}

/**
Heartbeat timeout in milliseconds, after which a backend server is removed from the directory. Entry hosts detect a dead
server much earlier by their own requests; a server that cannot reach the control hosts but still serves entry hosts must
keep its traffic.
*/
const heartbeatTimeoutMs = 15_000;
const sweepIntervalMs = 1000;
const reportAttemptMs = 400;
const reportTimeoutMs = 900;

/** Removes backend servers from the directory, on the leader, when their heartbeats stop at all control hosts. */
export class BackendHeartbeats implements Disposable {
	private readonly _lastHeartbeatAt = new Map<string, number>();
	private readonly _reports: HeartbeatReports;
	private readonly _store = new DisposableStore();

	constructor(private readonly _options: BackendHeartbeatsOptions) {
		const {clock, logger, transport, leadership, leaderClient} = _options;
		this._reports = new HeartbeatReports(clock, logger, async report => leaderClient.request(heartbeatsMethod, report, {attemptMs: reportAttemptMs, deadlineMs: reportTimeoutMs}));
		this._store.add(new PeriodicSweep(clock, sweepIntervalMs, stalledAt => {
			this._removeSilent(stalledAt);
		}));
		this._store.add(transport.handle(heartbeatsMethod, async ({heartbeats}) => {
			leadership.requirePeriod();
			const now = clock.now();
			for (const {key, ageMs} of heartbeats) {
				this._lastHeartbeatAt.set(key, Math.max(now - ageMs, this._lastHeartbeatAt.get(key) ?? -Infinity));
			}

			return true;
		}));
	}

	/**
	Records a heartbeat received by this host.

	@returns whether it may be acknowledged; not while this host cannot tell the leader of heartbeats.
	*/
	recordHeartbeat(server: Pick<BackendServer, 'id' | 'incarnation'>): boolean {
		const key = backendKey(server);
		this._lastHeartbeatAt.set(key, this._options.clock.now());
		if (this._options.leadership.period) {
			return true;
		}

		this._reports.record(key);
		return this._reports.isDelivering;
	}

	dispose(): void {
		this._store.dispose();
	}

	private _removeSilent(stalledAt: number): void {
		const {state, leadership, clock} = this._options;
		const now = clock.now();
		const servers = [...state.backendServers.values()];
		const keys = new Set(servers.map(server => backendKey(server)));
		for (const key of this._lastHeartbeatAt.keys()) {
			if (!keys.has(key)) {
				this._lastHeartbeatAt.delete(key);
			}
		}

		const {period} = leadership;
		if (!period) {
			void this._reports.send();
			return;
		}

		this._reports.clear();
		const since = Math.max(period.since, stalledAt);

		for (const server of servers) {
			// A server without a heartbeat yet has registered at another host since the last sweep.
			const lastHeartbeatAt = Math.max(since, this._lastHeartbeatAt.get(backendKey(server)) ?? now);
			this._lastHeartbeatAt.set(backendKey(server), lastHeartbeatAt);
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
