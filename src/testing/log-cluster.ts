import {type Clock} from '../common/base/clock.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {LogMember} from '../common/consensus/log-member.js';
import {type LogStorage} from '../common/consensus/log-storage.js';
import {type QuorumRule} from '../common/consensus/quorum-rule.js';
import {type LogHost} from './log-host.js';
import {ManualClock} from './manual-clock.js';
import {MemoryDisk} from './memory-disk.js';
import {MemoryNetwork} from './memory-network.js';
import {RecordingMachine} from './recording-machine.js';

/** Options of a `LogCluster`. */
export interface LogClusterOptions {
	readonly hosts?: readonly string[];
	readonly snapshotInterval?: number;
	readonly retainedEntries?: number;
	readonly snapshotSize?: number;
	readonly retainedSize?: number;
	readonly segmentSize?: number;
	readonly rule?: QuorumRule;
	/** Minimum interval in milliseconds between two batches of new entries; 0 by default. */
	readonly appendIntervalMs?: number;
	/** Hosts that create an open group, which any host may join; other hosts join through these. */
	readonly seeds?: readonly string[];
	/** Version of commands that a host applies; 1 by default. */
	readonly commandVersionOf?: (host: string) => number;
	/** Whether members get the start time of their process, which allows an early election after a restart of all members. */
	readonly hasStartTime?: boolean;
	readonly regionOf?: (host: string) => string;
	/** Replaces the clock of a host, for example by one that drifts. */
	readonly clockOf?: (host: string, clock: Clock) => Clock;
	/** Wraps the storage of a host, for example to disable a mechanism. */
	readonly wrapStorage?: (host: string, storage: LogStorage) => LogStorage;
}

/** Members of one group on a manual clock, an in-memory network and in-memory disks. */
export class LogCluster {
	readonly clock = new ManualClock();
	readonly network: MemoryNetwork;
	readonly hosts = new Map<string, LogHost>();
	private readonly _random: SeededRandom;

	constructor(seed: number, private readonly _options: LogClusterOptions = {}) {
		this._random = new SeededRandom(seed);
		this.network = new MemoryNetwork(this.clock, this._random.fork('network'));
		for (const name of _options.hosts ?? ['a', 'b', 'c']) {
			this.hosts.set(name, {
				name, disk: new MemoryDisk(this.clock, this._random.fork(`disk ${name}`)), starts: 0, isUp: false,
			});
		}
	}

	get names(): string[] {
		return [...this.hosts.keys()];
	}

	get members(): Array<LogMember<string, number>> {
		return [...this.hosts.values()].flatMap(host => host.member ?? []);
	}

	/** The leader with the highest term. */
	get leader(): LogHost | undefined {
		const leaders = [...this.hosts.values()].filter(host => host.member?.role === 'leader');
		return leaders.sort((a, b) => b.member!.term - a.member!.term)[0];
	}

	host(name: string): LogHost {
		return this.hosts.get(name)!;
	}

	/** Starts a host and advances the clock until it runs. @returns the error of a member that refuses to start. */
	async start(name: string, isBootstrap = true): Promise<{code?: string} | undefined> {
		let result: {error?: {code?: string}} | undefined;
		void (async () => {
			result = {error: await this.launch(name, isBootstrap)};
		})();

		await this.clock.advanceUntil(() => result !== undefined, 3000, 1);
		return result?.error;
	}

	/** Starts a host without advancing the clock. @returns the error of a member that refuses to start. */
	async launch(name: string, isBootstrap = true, onStart?: (host: LogHost) => void): Promise<{code?: string} | undefined> {
		const host = this.host(name);
		const {clockOf, wrapStorage, segmentSize, seeds, hasStartTime, regionOf, rule, appendIntervalMs, snapshotInterval, retainedEntries, snapshotSize, retainedSize} = this._options;
		const storage = new DiskLogStorage(host.disk.attach(), {segmentSize});
		host.starts++;
		const startNumber = host.starts;
		host.fatal = undefined;
		host.isUp = true;
		host.machine = new RecordingMachine();
		host.transport = this.network.attach(name);
		let member: LogMember<string, number>;
		try {
			member = await LogMember.start<string, number>({
				group: 'test',
				region: regionOf?.(name) ?? 'r',
				voterHosts: seeds ?? this.names,
				isOpenGroup: seeds !== undefined,
				isBootstrap,
				startedAt: hasStartTime ? this.clock.now() : undefined,
				clock: clockOf?.(name, this.clock) ?? this.clock,
				random: this._random.fork(`${name} ${host.starts}`),
				transport: host.transport,
				storage: wrapStorage?.(name, storage) ?? storage,
				machine: host.machine,
				commandVersion: this._options.commandVersionOf?.(name),
				counters: nullCounters,
				logger: nullLogger,
				rule,
				appendIntervalMs,
				snapshotInterval,
				retainedEntries,
				snapshotSize,
				retainedSize,
			});
		} catch (error) {
			return error as {code?: string};
		}

		if (!host.isUp || host.starts !== startNumber) {
			member.dispose();
			return undefined;
		}

		host.member = member;
		member.onFatal(error => {
			host.fatal = error.code;
		});
		onStart?.(host);
		return undefined;
	}

	/** Starts all hosts and waits for a leader that holds its lease. */
	async bootstrap(): Promise<LogHost> {
		await Promise.all(this.names.map(async name => this.launch(name)));
		return this.waitForLeader();
	}

	/** Waits for a leader that holds its lease. */
	async waitForLeader(limitMs = 5000): Promise<LogHost> {
		if (!await this.clock.advanceUntil(() => this.leader?.member?.hasLease() === true, limitMs)) {
			throw new Error(`no leader within ${limitMs} ms`);
		}

		return this.leader!;
	}

	/** Stops a process without notice; in a power loss the disk may also lose unsynced data. */
	kill(name: string, isPowerLoss = true): void {
		const host = this.host(name);
		host.member?.dispose();
		host.member = undefined;
		host.isUp = false;
		host.transport?.dispose();
		if (isPowerLoss) {
			host.disk.crash();
		}
	}

	/** Proposes a command, by default at the leader, and advances the clock until the outcome is known. @returns the index, or the code of the error. */
	async propose(command: string, at = this.leader?.name): Promise<number | string> {
		let outcome: number | string | undefined;
		const member = at === undefined ? undefined : this.host(at).member;
		if (!member) {
			return 'no-leader';
		}

		void (async () => {
			outcome = await this.outcomeOf(async () => member.propose(command));
		})();

		await this.clock.advanceUntil(() => outcome !== undefined, 5000, 2);
		return outcome ?? 'no-outcome';
	}

	/** Result of a call, or the code of its error; an error in the handler of a peer gives the code at the peer. */
	async outcomeOf<T>(call: () => Promise<T>): Promise<T | string> {
		try {
			return await call();
		} catch (error) {
			const {code, peerCode} = error as {code: string; peerCode?: string};
			return peerCode ?? code;
		}
	}

	/** Commands applied at a host, in order. */
	appliedAt(name: string): string[] {
		return this.host(name).machine!.applied.map(item => item.command);
	}

	dispose(): void {
		for (const host of this.hosts.values()) {
			host.member?.dispose();
		}
	}
}
