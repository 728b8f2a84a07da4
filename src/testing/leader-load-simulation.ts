import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {sleep} from '../common/base/sleep.js';
import {type TextCodec} from '../common/base/text-codec.js';
import {DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {ControlFollower} from '../common/control/control-follower.js';
import {serviceRolloutState} from '../common/control/service-rollout.js';
import {KnownVoters} from '../common/control/voters-section.js';
import {ServerRecord} from '../common/forwarding/server-pool.js';
import {ControlHost} from '../common/host/control-host.js';
import {ReleaseRecorder} from '../common/release/release-recorder.js';
import {StickySessions} from '../common/release/sticky-sessions.js';
import {TrialSessions} from '../common/release/trial-sessions.js';
import {AnnouncingServers} from './announcing-servers.js';
import {defaultMachines} from './configuration-machines.js';
import {ManualClock} from './manual-clock.js';
import {MemoryDisk} from './memory-disk.js';
import {MemoryNetwork} from './memory-network.js';
import {RoutingSamples} from './routing-samples.js';
import {type SimulatedMachine, SimulatedMachines} from './simulated-machine.js';

/** Number of hosts and servers of a simulation. */
export interface LeaderLoadSize {
	readonly entryHosts: number;
	/** Servers of the service; a roll-out adds half as many. */
	readonly servers: number;
}

/** What a play showed; times in milliseconds. */
export interface LeaderLoadOutcome {
	/** Longest time from the sending of a configuration to its acknowledgement. */
	readonly ackMs: number;
	/** Longest time from an acknowledgement until the last entry host acted by this or a later configuration. */
	readonly spreadMs: number;
	/** Entry hosts that lost their lease. */
	readonly lostLeases: number;
	/** Announcements without an acknowledgement within a second, from `settleMs` after the stop of the leader on. */
	readonly failedAnnouncements: number;
}

/** What must hold in any play: the bounds of the users' sheets for the acknowledgement of a change and until all hosts act by it, and nothing lost. */
export const soundLeaderLoad: LeaderLoadOutcome = {
	ackMs: 4000, spreadMs: 2000, lostLeases: 0, failedAnnouncements: 0,
};

/** Compares a play with its bounds; a value that differs from `soundLeaderLoad` breaks one. */
export function judgeLeaderLoad({ackMs, spreadMs, ...counts}: LeaderLoadOutcome): LeaderLoadOutcome {
	return {ackMs: Math.max(soundLeaderLoad.ackMs, ackMs), spreadMs: Math.max(soundLeaderLoad.spreadMs, spreadMs), ...counts};
}

/** Processor time of a call in milliseconds, about 0.2 ms on each side, on machines half as fast as those it was measured on. */
const messageMs = 0.2;
const service = 's';
const sessionMs = 11_000;
const requestsPerSecond = 9;
const sessionsPerHost = 75;
const syncMs = 1;
const resendMs = 200;
/** Time in milliseconds after the stop of the leader in which an election and the return of the hosts are allowed. */
const settleMs = 4000;

type Entry = {readonly follower: ControlFollower; readonly applied: Array<{version: number; at: number}>};

/** A control group whose leader stops while a roll-out begins, with entry hosts, servers and small processors. */
export class LeaderLoadSimulation {
	private readonly _clock = new ManualClock();
	private readonly _random = new SeededRandom(1);
	private readonly _machines = new SimulatedMachines(this._clock, messageMs);
	private readonly _network = new MemoryNetwork(this._clock, this._random.fork('network'), this._machines);
	private readonly _samples = new RoutingSamples(this._random.fork('routes'));
	private readonly _controlHosts = Array.from({length: defaultMachines.controls}, (_, index) => `c${index}`);
	private readonly _controls: ControlHost[] = [];
	private readonly _controlMachines: SimulatedMachine[] = [];
	private readonly _entries: Entry[] = [];
	private readonly _acks: Array<{version: number; sentAt: number; ackedAt: number}> = [];
	private readonly _lostLeases = new Set<string>();
	/** The control host that stands still; nobody calls it. */
	private _stopped: string | undefined;

	private readonly _servers = new AnnouncingServers(this._clock, service, 2 * messageMs, () => {
		const host = this._anyControl();
		return {control: this._control(host), processor: this._machine(host).processor};
	});

	/** `_codec` compresses the texts on all hosts. */
	constructor(private readonly _codec: TextCodec, private readonly _size: LeaderLoadSize) {
		this._network.faults.minDelayMs = 1;
		this._network.faults.maxDelayMs = 2;
	}

	/** Starts all hosts and servers and waits until they are in the directory. */
	async start(): Promise<void> {
		const {entryHosts, servers} = this._size;
		for (const host of this._controlHosts) {
			void this._startControl(host);
		}

		await this._require('a leader', () => this._controls.length === this._controlHosts.length && this._controls.every(({leader}) => leader));
		void this._order(49);
		await this._require('a configuration', () => this._acks.length > 0);
		for (let index = 0; index < entryHosts; index++) {
			this._startEntry(`e${index}`);
			await this._clock.advance(10_000 / entryHosts); // eslint-disable-line no-await-in-loop -- one after the other
		}

		void this._servers.start(servers, 'v1', 5000);
		await this._require('leases', () => this._entries.every(({follower}) => follower.lease.isValid() && follower.view.backendServers.size === servers));
	}

	/** Stops the leader for a time while a roll-out begins and configurations follow. */
	async play(): Promise<LeaderLoadOutcome> {
		const first = this._leader();
		void this._control(first).startRollout(service, 'v2', 24_000);
		await this._require('a roll-out', () => this._entries.every(({follower}) => follower.view.serviceRollouts.has(service)));
		this._acks.length = 0;
		this._lostLeases.clear();
		this._stopped = first;
		this._network.partition([first], [...this._controlHosts.filter(host => host !== first), ...this._entryNames()]);
		void this._servers.start(Math.floor(this._size.servers / 2), 'v2', 1000);
		await this._clock.advance(3000);
		void this._order(0);
		await this._clock.advance(settleMs - 3000);
		this._servers.failed = 0;
		await this._clock.advance(2000);
		void this._order(0);
		await this._clock.advance(2000);
		this._network.heal();
		this._stopped = undefined;
		await this._clock.advance(2000);
		void this._order(0);
		await this._clock.advance(4000);
		await this._require('acknowledgements', () => this._acks.length === 3);
		const spread = this._acks.map(({version, ackedAt}) => Math.max(...this._entries.map(({applied}) => (applied.find(one => one.version >= version)?.at ?? Infinity) - ackedAt)));
		return {
			ackMs: Math.max(...this._acks.map(({sentAt, ackedAt}) => ackedAt - sentAt)),
			spreadMs: Math.max(...spread),
			lostLeases: this._lostLeases.size,
			failedAnnouncements: this._servers.failed,
		};
	}

	dispose(): void {
		for (const host of [...this._controls, ...this._entries.map(({follower}) => follower)]) {
			host.dispose();
		}
	}

	private _entryNames(): string[] {
		return this._entries.map((_, index) => `e${index}`);
	}

	private _control(host: string): ControlHost {
		return this._controls[this._controlHosts.indexOf(host)]!;
	}

	private _machine(host: string): SimulatedMachine {
		return this._controlMachines[this._controlHosts.indexOf(host)]!;
	}

	/** A control host that a caller may choose. */
	private _anyControl(): string {
		const hosts = this._controlHosts.filter(host => host !== this._stopped);
		return hosts[this._random.integer(hosts.length)]!;
	}

	/** The host that leads by its own account, except one. */
	private _leader(except?: string): string {
		return this._controlHosts.find(host => host !== except && this._control(host).leader === host) ?? this._controlHosts.find(host => host !== except)!;
	}

	private async _startControl(host: string): Promise<void> {
		const machine = this._machines.add(host, defaultMachines.control);
		const disk = new MemoryDisk(this._clock, this._random.fork(`disk ${host}`));
		disk.syncDelayMs = syncMs;
		const index = this._controlHosts.indexOf(host);
		this._controlMachines[index] = machine;
		this._controls[index] = await ControlHost.start({
			region: 'r',
			seeds: () => this._controlHosts,
			isBootstrap: true,
			clock: machine.processor,
			startedAt: this._clock.now(),
			random: this._random.fork(host),
			transport: this._network.attach(host, machine.processor),
			counters: nullCounters,
			logger: nullLogger,
			storage: new DiskLogStorage(machine.chargeWrites(disk.attach()), {}),
			addresses: {refusesConnections: async () => false},
			sessionMs,
			exposureLimit: {share: 0.1, slack: 30},
			keepSeconds: 1,
			codec: this._codec,
		});
	}

	private _startEntry(name: string): void {
		const machine = this._machines.add(name, defaultMachines.entry);
		const {processor} = machine;
		const voters = new KnownVoters(() => this._controlHosts);
		const applied: Entry['applied'] = [];
		const follower = new ControlFollower({
			entry: {
				host: name, incarnation: this._clock.wallTime(), address: `${name}:80`, peerAddress: `${name}:80`, zone: 'z',
			},
			voters: () => voters.hosts,
			clock: processor,
			random: this._random.fork(name),
			transport: this._network.attach(name, processor),
			counters: nullCounters,
			logger: nullLogger,
			codec: this._codec,
		});
		const isSharing = () => follower.view.serviceRollouts.get(service)?.state === serviceRolloutState.inProgress;
		const trials = new TrialSessions();
		const sessions = new StickySessions(processor, sessionMs, session => trials.mayMove(session));
		const recorder = new ReleaseRecorder(() => isSharing() ? follower.view.serviceRollouts.get(service)!.revision : undefined);
		recorder.onBacklog(() => {
			follower.renewNow();
		});
		for (const section of [voters, recorder, sessions]) {
			follower.addSection(section as never);
		}

		follower.onRevision(() => {
			trials.update(follower.view);
			const version = follower.view.routing?.version ?? 0;
			if (version !== (applied.at(-1)?.version ?? 0)) {
				applied.push({version, at: processor.busyUntil});
			}
		});
		follower.onLeaseLost(() => {
			this._lostLeases.add(name);
		});
		this._entries.push({follower, applied});
		follower.start();
		this._sendRequests(follower, recorder, sessions);
	}

	/** Records the requests of the callers of an entry host; the sessions go to all hosts alike. */
	private _sendRequests(follower: ControlFollower, recorder: ReleaseRecorder, sessions: StickySessions): void {
		this._clock.setTimer(1000 / requestsPerSecond, () => {
			const server = [...follower.view.backendServers.values()].find(({release}) => release === 'v1');
			if (server) {
				const route = `route-${this._random.integer(3)}`;
				const subject = {
					service, route, model: `model-${this._random.integer(3)}`, record: new ServerRecord(server),
				};
				sessions.recordRequest(`session-${this._random.integer(sessionsPerHost * this._size.entryHosts)}`);
				recorder.recordSent(subject);
				recorder.recordAnswer(subject, false);
				recorder.recordHeadTime(subject, 50 + this._random.integer(400));
				recorder.recordPace(subject, 1 + this._random.integer(40));
			}

			this._sendRequests(follower, recorder, sessions);
		});
	}

	/** Sends a configuration with more routes, or with another time-out, to one control host after the other until it is acknowledged. */
	private async _order(routes: number): Promise<void> {
		const {version, source} = routes > 0 ? this._samples.addRoutes(routes) : this._samples.changeTimeout();
		const sentAt = this._clock.now();
		for (;;) {
			try {
				await this._control(this._anyControl()).applyRouting(version, source); // eslint-disable-line no-await-in-loop -- attempts follow each other
				this._acks.push({version, sentAt, ackedAt: this._clock.now()});
				return;
			} catch {
				await sleep(this._clock, resendMs); // eslint-disable-line no-await-in-loop -- attempts follow each other
			}
		}
	}

	private async _require(what: string, condition: () => boolean): Promise<void> {
		if (!await this._clock.advanceUntil(condition, 30_000)) {
			throw new Error(`no ${what} within 30 s`);
		}
	}
}
