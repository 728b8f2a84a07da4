import {nullCounters} from '../common/base/null-counters.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {plainTextCodec} from '../common/base/text-codec.js';
import {DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {ControlHost} from '../common/host/control-host.js';
import {type ControlHostOptions} from '../common/host/control-host-options.js';
import {DriftingClock} from './drifting-clock.js';
import {ManualClock} from './manual-clock.js';
import {MemoryDisk} from './memory-disk.js';
import {MemoryNetwork} from './memory-network.js';
import {RecordingLogger} from './recording-logger.js';

const names = ['a', 'b', 'c'] as const;

/** Three control hosts with disks, clock and network in memory. */
export class ControlHostGroup {
	/** Starts the hosts and waits for a leader. */
	static async start(seed: number, options: Pick<ControlHostOptions, 'parseColdStarts'> = {}): Promise<ControlHostGroup> {
		const group = new ControlHostGroup(seed, options);
		await Promise.all(names.map(async (_, index) => group.startHost(index)));
		await group.waitForLeader();
		return group;
	}

	readonly clock = new ManualClock();
	/** Clock of the hosts, which a step of the time of day advances. */
	readonly hostClock = new DriftingClock(this.clock, 1);
	readonly logger = new RecordingLogger();
	readonly names = names;
	readonly hosts: ControlHost[] = [];
	readonly network: MemoryNetwork;
	readonly disks: readonly MemoryDisk[];
	private readonly _random: SeededRandom;
	private _starts = 0;

	private constructor(seed: number, private readonly _options: Pick<ControlHostOptions, 'parseColdStarts'>) {
		this._random = new SeededRandom(seed);
		this.network = new MemoryNetwork(this.clock, this._random.fork('network'));
		this.disks = names.map(name => new MemoryDisk(this.clock, this._random.fork(`disk ${name}`)));
	}

	/** Index of the host that leads according to the given one. */
	leader(asked = 0): number {
		return (names as ReadonlyArray<string | undefined>).indexOf(this.hosts[asked]!.leader);
	}

	/** Starts a host for the first time, or again from what is on its disk. */
	async startHost(index: number): Promise<void> {
		const name = names[index]!;
		this.hosts[index] = await ControlHost.start({
			region: 'r',
			seeds: () => names,
			isBootstrap: true,
			clock: this.hostClock,
			steadyClock: this.clock,
			startedAt: this.hostClock.now(),
			random: this._random.fork(`${name} ${this._starts++}`),
			transport: this.network.attach(name),
			counters: nullCounters,
			logger: this.logger,
			storage: new DiskLogStorage(this.disks[index]!.attach()),
			addresses: {refusesConnections: async () => false},
			sessionMs: 60_000,
			exposureLimit: {share: 0.15, slack: 30},
			keepSeconds: 1,
			codec: plainTextCodec,
			...this._options,
		});
	}

	/** Waits until the given host knows a leader. */
	async waitForLeader(asked = 0): Promise<void> {
		await this.clock.advanceUntil(() => this.leader(asked) >= 0, 10_000);
	}

	/** Advances the clock until a promise is settled. */
	async settle<T>(promise: Promise<T>): Promise<T> {
		let isSettled = false;
		void (async () => {
			await Promise.allSettled([promise]);
			isSettled = true;
		})();

		await this.clock.advanceUntil(() => isSettled, 20_000);
		return promise;
	}

	/** Number of backend servers that were removed because their heartbeats have stopped. */
	removals(): number {
		return this.logger.of('backend server removed, no heartbeat').length;
	}

	dispose(): void {
		for (const host of this.hosts) {
			host.dispose();
		}
	}
}
