import {type AppError} from '../base/app-error.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type Event} from '../base/event.js';
import {sleep} from '../base/sleep.js';
import {LogMember} from '../consensus/log-member.js';
import {role} from '../consensus/role.js';
import {controlCommandVersion} from '../control/command-versions.js';
import {BackendHeartbeats} from '../control/backend-heartbeats.js';
import {isSameAnnouncement} from '../control/backend-registrar.js';
import {type BackendServer} from '../control/backend-server.js';
import {type ControlCommand} from '../control/control-command.js';
import {ControlUnavailableError} from '../control/control-errors.js';
import {commitIndexMethod, proposeMethod} from '../control/control-methods.js';
import {type ControlResult} from '../control/control-result.js';
import {ColdServerWatch} from '../control/cold-server-watch.js';
import {ControlService} from '../control/control-service.js';
import {ControlState} from '../control/control-state.js';
import {proposeTimeoutMs} from '../control/control-times.js';
import {EntryList, type EntryListReply} from '../control/entry-list.js';
import {type Evacuation} from '../control/evacuation-table.js';
import {LeaderClient} from '../control/leader-client.js';
import {type RoutingRecord} from '../control/routing-record.js';
import {type ServiceRollout} from '../control/service-rollout.js';
import {VotersSource} from '../control/voters-section.js';
import {CrashSupervisor} from '../crashes/crash-supervisor.js';
import {ReleaseSupervisor} from '../release/release-supervisor.js';
import {StickySessionExchange} from '../release/sticky-sessions.js';
import {SpeedEstimates} from '../speeds/speed-estimates.js';
import {type ControlHostOptions} from './control-host-options.js';

/** Minimum interval in milliseconds between two batches of log entries: with nine members, bursts of changes take a quarter of a small processor. */
const appendIntervalMs = 40;
/** Timeout in milliseconds of a command of an operator or a backend server, including the search for the leader; the caller retries. */
const commandTimeoutMs = 3000;
/** Timeout in milliseconds of a read, including the wait until this host has caught up. */
const readTimeoutMs = 800;
const readPollMs = 10;

/** A member of the control group that serves operators and backend servers, and serves the list of entry hosts to callers. */
export class ControlHost implements Disposable {
	/**
	Starts the member of the control group.

	@throws StorageFailedError or LogCorruptError when the storage cannot be used.
	*/
	static async start(options: ControlHostOptions): Promise<ControlHost> {
		const state = new ControlState(options.codec);
		const log = await LogMember.start<ControlCommand, ControlResult>({
			...options, group: 'control', machine: state, commandVersion: controlCommandVersion, appendIntervalMs, voterHosts: options.seeds(), isOpenGroup: true, contacts: options.seeds,
		});
		return new ControlHost(options, log, state);
	}

	private readonly _store = new DisposableStore();
	private readonly _service: ControlService;
	private readonly _leaderClient: LeaderClient;
	private readonly _heartbeats: BackendHeartbeats;
	private readonly _entryList: EntryList;
	private readonly _coldServers: ColdServerWatch;
	private _coldStarts: {readonly revision: number; readonly byService: ReadonlyMap<string, number>} | undefined;
	/** Pending proposals of announced backend servers, so that repeated announcements share one. */
	private readonly _pendingJoins = new Map<string, Promise<ControlResult>>();

	private constructor(
		private readonly _options: ControlHostOptions,
		private readonly _log: LogMember<ControlCommand, ControlResult>,
		private readonly _state: ControlState,
	) {
		const {transport, clock, random, seeds, keepSeconds, maxListed} = _options;
		const shared = {..._options, log: _log, state: _state};
		this._store.add(_log);
		this._service = this._store.add(new ControlService(shared));
		this._store.add(this._service.addSection(new VotersSource(() => this._voters)));
		this._leaderClient = new LeaderClient(transport, () => [...new Set([...this._voters, ...seeds()])], clock, random, () => _log.leader);
		this._heartbeats = this._store.add(new BackendHeartbeats({...shared, leadership: this._service.leadership, leaderClient: this._leaderClient}));
		const supervisor = this._store.add(new ReleaseSupervisor({...shared, leadership: this._service.leadership}));
		this._store.add(this._service.addSection(supervisor));
		this._store.add(this._service.addSection(this._store.add(new CrashSupervisor({...shared, leadership: this._service.leadership}))));
		this._coldServers = this._store.add(new ColdServerWatch({
			...shared, clock: _options.steadyClock ?? clock, leadership: this._service.leadership, coldStartMs: service => this._coldStartMs(service),
		}));
		this._store.add(this._service.addSection(new StickySessionExchange(clock, _options.sessionMs)));
		this._store.add(this._service.addSection(new SpeedEstimates(shared)));
		this._entryList = new EntryList(_state, {isValid: () => true}, {keepSeconds, maxLength: maxListed});
	}

	/** Raised when the member has stopped permanently; the process must end. */
	get onFatal(): Event<AppError> {
		return this._log.onFatal;
	}

	/** Peer name of the leader; undefined when unknown. */
	get leader(): string | undefined {
		return this._log.leader;
	}

	/** The routing configuration that this host has applied; it may be stale. */
	get routing(): RoutingRecord | undefined {
		return this._state.routing;
	}

	/** Last order on the evacuation of each zone that this host has applied; they may be stale. */
	get evacuations(): ReadonlyMap<string, Evacuation> {
		return this._state.evacuations;
	}

	/** Returns the list of entry hosts for a caller. `client` tells clients with the same name apart. */
	entries(caller: string, zone: string, client: string): EntryListReply {
		return this._entryList.for(caller, zone, client);
	}

	/** Proposes a routing configuration. @throws ControlUnavailableError when the outcome is unknown; a retry is safe. */
	async applyRouting(version: number, source: string): Promise<ControlResult> {
		return this._propose({type: 'apply-routing', version, source});
	}

	/** Proposes a roll-out of a release. @throws ControlUnavailableError when the outcome is unknown; a retry is safe. */
	async startRollout(service: string, target: string, durationMs: number): Promise<ControlResult> {
		return this._propose({
			type: 'start-service-rollout', service, target, durationMs, at: this._options.clock.wallTime(),
		});
	}

	/**
	Orders that backend servers of a zone get no requests, or withdraws the order.

	@throws ControlUnavailableError when the outcome is unknown; a retry is safe.
	*/
	async changeEvacuation(zone: string, isActive: boolean): Promise<ControlResult> {
		return this._propose({
			type: isActive ? 'evacuate-zone' : 'end-evacuation', zone, base: this.evacuations.get(zone)?.revision ?? 0, at: this._options.clock.wallTime(),
		});
	}

	/** Reads the latest committed routing configuration. @throws ControlUnavailableError when this host cannot confirm that it is up to date. */
	async readRouting(): Promise<RoutingRecord | undefined> {
		await this._catchUp();
		return this._state.routing;
	}

	/** Reads the latest committed roll-out of a service. @throws ControlUnavailableError when this host cannot confirm that it is up to date. */
	async readRollout(service: string): Promise<ServiceRollout | undefined> {
		await this._catchUp();
		return this._state.serviceRollouts.get(service);
	}

	/**
	Handles a heartbeat of a backend server. Resolves when the changes that it announces are committed.

	@returns whether the process is in the directory; it is not after it has left or a newer process has replaced it.
	@throws ControlUnavailableError when the outcome is unknown; the next heartbeat retries.
	*/
	async announce({coldMs, ...announced}: BackendServer): Promise<boolean> {
		const server: BackendServer = coldMs === undefined || !this._options.parseColdStarts ? announced : {...announced, coldMs};
		if (!this._heartbeats.recordHeartbeat(server)) {
			throw new ControlUnavailableError('the leader cannot be told of heartbeats');
		}

		const known = this._state.backendServers.get(server.id);
		const isNewlyCold = known && server.coldMs !== undefined && this._coldServers.isColdForLonger(known, server.coldMs);
		if (known?.incarnation === server.incarnation && !isNewlyCold && (isSameAnnouncement(known, server) || (known.isDraining && !server.isDraining))) {
			return true;
		}

		const key = JSON.stringify({...server, coldMs: server.coldMs !== undefined});
		let pendingJoin = this._pendingJoins.get(key);
		if (!pendingJoin) {
			pendingJoin = this._join(key, server);
			this._pendingJoins.set(key, pendingJoin);
		}

		const result = await pendingJoin;
		return result.status === 'accepted';
	}

	/**
	Removes a backend server from the directory; by default its current incarnation. Resolves when the removal is committed.

	@throws ControlUnavailableError when the outcome is unknown, or when this host cannot confirm that the server is not registered.
	*/
	async leave(id: string, incarnation?: number): Promise<void> {
		let known = incarnation ?? this._state.backendServers.get(id)?.incarnation;
		if (known === undefined) {
			// The server may have registered at another host a moment ago.
			await this._catchUp();
			known = this._state.backendServers.get(id)?.incarnation;
		}

		if (known !== undefined) {
			await this._propose({
				type: 'backend-left', id, incarnation: known, at: this._options.clock.wallTime(),
			});
		}
	}

	/** Transfers the leadership, if this host has it, before a planned stop. */
	transferLeadership(): void {
		if (this._log.role === role.leader) {
			this._log.transferLeadership();
		}
	}

	/** Stops the member and waits for pending writes. */
	async close(): Promise<void> {
		this._store.dispose();
		await this._log.close();
	}

	dispose(): void {
		this._store.dispose();
	}

	private _coldStartMs(service: string): number {
		const {routing} = this._state;
		const {parseColdStarts} = this._options;
		if (!routing || !parseColdStarts) {
			return 0;
		}

		if (this._coldStarts?.revision !== routing.revision) {
			this._coldStarts = {revision: routing.revision, byService: parseColdStarts(routing.source)};
		}

		return this._coldStarts.byService.get(service) ?? 0;
	}

	private get _voters(): readonly string[] {
		return this._log.members.filter(({isVoter}) => isVoter).map(({host}) => host);
	}

	private async _join(key: string, server: BackendServer): Promise<ControlResult> {
		const {logger, clock} = this._options;
		try {
			const result = await this._propose({type: 'backend-joined', server, at: clock.wallTime()});
			const {id, incarnation, address, release, isDraining, coldMs} = server;
			logger.info({
				server: id, incarnation, address, release, isDraining, coldMs, services: server.services, outcome: result.status,
			}, 'backend server announced');
			return result;
		} finally {
			this._pendingJoins.delete(key);
		}
	}

	private async _propose(command: ControlCommand): Promise<ControlResult> {
		return this._leaderClient.request(proposeMethod, {command}, {attemptMs: proposeTimeoutMs, deadlineMs: commandTimeoutMs});
	}

	/** Waits until this host has applied all entries that were committed when the call began. */
	private async _catchUp(): Promise<void> {
		const {clock, logger} = this._options;
		const startedAt = clock.now();
		const end = startedAt + readTimeoutMs;
		const {commitIndex} = await this._leaderClient.request(commitIndexMethod, {}, {attemptMs: readTimeoutMs / 2, deadlineMs: readTimeoutMs});
		while (this._log.appliedIndex < commitIndex) {
			if (clock.now() >= end) {
				throw new ControlUnavailableError(`this host is behind the leader by ${commitIndex - this._log.appliedIndex} entries`);
			}

			// eslint-disable-next-line no-await-in-loop -- waits for the log
			await sleep(clock, readPollMs);
		}

		logger.info({
			term: this._log.term, leader: this._log.leader, commitIndex, applied: this._log.appliedIndex, version: this._state.routing?.version, waitedMs: Math.round(clock.now() - startedAt),
		}, 'state read');
	}
}
