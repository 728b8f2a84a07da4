import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {type RandomSource} from '../common/base/random-source.js';
import {Host} from '../common/host/host.js';
import {DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {type ManualClock} from '../testing/manual-clock.js';
import {MemoryDisk} from '../testing/memory-disk.js';
import {type MemoryNetwork} from '../testing/memory-network.js';
import {ProcessClock} from '../testing/process-clock.js';
import {type EmulatedBackends} from './emulated-backends.js';
import {RandomPlanPolicy} from './random-plan-policy.js';
import {type RunHistory} from './run-history.js';

/** Dependencies of `SimulatedHost`, shared by the hosts of a simulation. */
export interface SimulatedHostOptions {
	readonly clock: ManualClock;
	readonly network: MemoryNetwork;
	readonly backends: EmulatedBackends;
	readonly history: RunHistory;
	readonly random: RandomSource;
	readonly voters: readonly string[];
	/** Replaces services of the request path to plant a fault. */
	readonly alterServices?: (services: EntryServices) => EntryServices;
}

/** One host with its disks, which can be crashed and restarted. */
export class SimulatedHost {
	host: Host | undefined;
	/** Services of the request path in the running process. */
	services: EntryServices | undefined;
	/** Number of caller requests in flight. */
	activeRequests = 0;
	private readonly _disks = new Map<string, MemoryDisk>();
	private _clock: ProcessClock | undefined;
	private _starts = 0;
	private _transport: {dispose(): void} | undefined;

	constructor(readonly name: string, private readonly _options: SimulatedHostOptions) {}

	get isUp(): boolean {
		return this.host !== undefined;
	}

	/** Number of starts; it identifies the process, so that a restart can be detected. */
	get starts(): number {
		return this._starts;
	}

	/** Starts the process with the current contents of its disks. */
	async start(): Promise<void> {
		const {clock, network, backends, random, voters, alterServices} = this._options;
		const start = ++this._starts;
		const processRandom = random.fork(`${this.name}-${start}`);
		// The rate of each clock is off by at most half of the allowed drift of 1 %, in either direction.
		const processClock = new ProcessClock(clock, 0.995 + (processRandom.next() * 0.01));
		this._clock = processClock;
		const transport = network.attach(this.name);
		this._transport = transport;
		const isAlive = () => this._starts === start && this._clock === processClock;
		const host = await Host.start({
			cfg: {
				host: this.name, zone: `zone-${this.name.at(-1)}`, region: 'main', voters: new Map(voters.map(voter => [voter, voter])), bootstrap: true, keepSeconds: 2, ledgerLingerMs: 0, loadIntervalSeconds: 30, maxConcurrent: 200,
			},
			clock: processClock,
			random: processRandom,
			counters: nullCounters,
			logger: nullLogger,
			transport,
			prober: {probe: async server => backends.servers.get(server.id)?.isUp ?? false},
			engines: backends.clientOf(this.name, isAlive),
			ratings: {
				isAvailable: false, async rate() {
					throw new Error('no rating service');
				},
			},
			orders: {
				async send() {
					throw new Error('no orders in this run');
				},
			},
			callerAddress: `${this.name}:80`,
			controlAddress: `${this.name}:90`,
			openStorage: async group => new DiskLogStorage(this._disk(group).attach()),
		});
		if (!isAlive()) {
			host.dispose();
			return;
		}

		this.host = host;
		const services = {...host.entry.services, policy: new RandomPlanPolicy(processRandom.fork('policy'))};
		this.services = alterServices?.(services) ?? services;
		this._watchRevisions(host, start);
	}

	/** Ends the process as a power loss does: the disks may lose unsynced data. */
	crash(): void {
		this.stop();
		for (const disk of this._disks.values()) {
			disk.crash();
		}
	}

	/** Ends the process without notice; its disks keep all written data. */
	stop(): void {
		this._clock?.end();
		this._clock = undefined;
		this._transport?.dispose();
		this.host?.dispose();
		this.host = undefined;
		this.services = undefined;
		this.activeRequests = 0;
	}

	/** Wipes the disks. */
	wipeDisks(): void {
		for (const disk of this._disks.values()) {
			disk.wipe();
		}
	}

	/** Freezes the process: its timers run only after the given time. */
	freeze(durationMs: number): void {
		this._clock?.freeze(durationMs);
	}

	private _disk(group: string): MemoryDisk {
		let disk = this._disks.get(group);
		if (!disk) {
			disk = new MemoryDisk(this._options.clock, this._options.random.fork(`${this.name}-${group}`));
			disk.syncDelayMs = 1;
			this._disks.set(group, disk);
		}

		return disk;
	}

	private _watchRevisions({control: {follower}}: Host, start: number): void {
		const revisions: number[] = [];
		this._options.history.revisions.set(`${this.name}#${start}`, revisions);
		follower.onRevision(revision => {
			revisions.push(revision);
		});
	}
}
