import {type Disposable} from '../common/base/disposable.js';
import {DisposableStore} from '../common/base/disposable-store.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {LogMember} from '../common/consensus/log-member.js';
import {type LedgerCommand} from '../common/ledger/ledger-command.js';
import {type LedgerReply} from '../common/ledger/ledger-reply.js';
import {LedgerService} from '../common/ledger/ledger-service.js';
import {LedgerState} from '../common/ledger/ledger-state.js';
import {TestDirectory} from './ledger-fixture.js';
import {LedgerObserver} from './ledger-observer.js';
import {type TestLedgerGroup} from './test-ledger-group.js';
import {ManualClock} from './manual-clock.js';
import {MemoryDisk} from './memory-disk.js';
import {MemoryNetwork} from './memory-network.js';

type Voter = {disk: MemoryDisk; starts: number; running?: Disposable; hasLease?: () => boolean};

/** One ledger group on the replicated log, with frequent snapshots and in-memory disks that lose unsynced data. */
export class LedgerCluster implements TestLedgerGroup {
	readonly voters = ['v1', 'v2', 'v3'];
	readonly clock = new ManualClock();
	readonly network: MemoryNetwork;
	readonly directory = new TestDirectory();
	readonly observer = new LedgerObserver();
	readonly states = new Map<string, LedgerState>();
	private readonly _voters = new Map<string, Voter>();
	private readonly _random: SeededRandom;

	/** `_injectFault` injects a fault in the state of each voter before the voter starts. */
	constructor(seed: number, private readonly _injectFault: (state: LedgerState) => void = () => undefined) {
		this._random = new SeededRandom(seed);
		this.network = new MemoryNetwork(this.clock, this._random.fork('network'));
		for (const host of this.voters) {
			this._voters.set(host, {disk: new MemoryDisk(this.clock, this._random.fork(`disk ${host}`)), starts: 0});
		}
	}

	/** Starts a voter that is down. */
	async start(host: string): Promise<void> {
		const voter = this._voters.get(host)!;
		if (voter.running) {
			return;
		}

		const store = new DisposableStore();
		voter.running = store;
		voter.starts++;
		const transport = store.add(this.network.attach(host));
		const state = new LedgerState();
		this._injectFault(state);
		const common = {
			clock: this.clock, counters: nullCounters, logger: nullLogger, transport,
		};
		const log = await LogMember.start<LedgerCommand, LedgerReply>({
			...common, group: 'ledger-0', region: 'r', voterHosts: this.voters, isBootstrap: true, random: this._random.fork(`${host} ${voter.starts}`),
			storage: new DiskLogStorage(voter.disk.attach()), machine: this.observer.watch(state), snapshotInterval: 12, retainedEntries: 4,
		});
		store.add(log);
		if (!store.isDisposed) {
			store.add(new LedgerService({
				...common, log, state, directory: this.directory, group: 0,
			}));
			this.states.set(host, state);
			voter.hasLease = () => log.hasLease();
		}
	}

	/** Stops a voter as a power loss does: unsynced data may be lost. */
	kill(host: string): void {
		const voter = this._voters.get(host)!;
		voter.running?.dispose();
		voter.running = undefined;
		voter.hasLease = undefined;
		voter.disk.crash();
		this.states.delete(host);
	}

	async recover(): Promise<void> {
		for (const host of this.voters) {
			void this.start(host);
		}

		if (!await this.clock.advanceUntil(() => [...this._voters.values()].some(voter => voter.hasLease?.() === true), 20_000)) {
			throw new Error('the ledger group elected no leader within 20 s');
		}
	}

	/** Stops all voters. */
	dispose(): void {
		for (const host of this.voters) {
			this.kill(host);
		}
	}
}
