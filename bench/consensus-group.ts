import {mkdtemp, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {type Clock} from '../src/common/base/clock.js';
import {nullLogger} from '../src/common/base/null-logger.js';
import {SeededRandom} from '../src/common/base/seeded-random.js';
import {LogMember} from '../src/common/consensus/log-member.js';
import {type StateMachine} from '../src/common/consensus/state-machine.js';
import {openFileLogStorage} from '../src/node/file-log-storage.js';
import {InProcessTransport} from './in-process-transport.js';

const hosts = ['a', 'b', 'c'];
const commandBytes = 250;
/** Command of 250 bytes in JSON. */
export const command = {text: 'x'.repeat(commandBytes - '{"text":""}'.length)};

const clock: Clock = {
	now: () => performance.now(),
	wallTime: () => performance.timeOrigin + performance.now(),
	setTimer(delayMs, callback) {
		const timer = setTimeout(callback, delayMs);
		return {
			dispose() {
				clearTimeout(timer);
			},
		};
	},
};

/** State machine that only counts commands, so that the measurement covers the log alone. */
class CountingStateMachine implements StateMachine<unknown, number> {
	count = 0;

	apply(): number {
		return ++this.count;
	}

	snapshot(): unknown {
		return this.count;
	}

	restore(snapshot: unknown): void {
		this.count = snapshot as number;
	}
}

type Member = LogMember<unknown, number>;

/** Consensus group of three members in this process, with logs in real files. */
export class ConsensusGroup {
	readonly members = new Map<string, Member>();
	readonly syncs = {count: 0, totalMs: 0};
	private readonly _transport = new InProcessTransport();
	private _starts = 0;

	constructor(private readonly _folder: string, private readonly _snapshotInterval: number) {}

	get leader(): Member {
		return [...this.members.values()].find(member => member.hasLease())!;
	}

	async start(host: string): Promise<Member> {
		const member = await LogMember.start<unknown, number>({
			group: 'bench',
			region: 'r',
			voterHosts: hosts,
			isBootstrap: true,
			clock,
			random: new SeededRandom(this._starts++),
			transport: this._transport.attach(host),
			storage: await openFileLogStorage(path.join(this._folder, host)),
			machine: new CountingStateMachine(),
			counters: {
				increment: () => undefined,
				gauge: () => undefined,
				timing: (name, durationMs) => {
					if (name === 'consensus.sync') {
						this.syncs.count++;
						this.syncs.totalMs += durationMs;
					}
				},
			},
			logger: nullLogger,
			snapshotInterval: this._snapshotInterval,
		});
		this.members.set(host, member);
		return member;
	}

	async waitFor(condition: () => boolean): Promise<void> {
		while (!condition()) {
			// eslint-disable-next-line no-await-in-loop -- polls
			await new Promise(resolve => {
				setTimeout(resolve, 1);
			});
		}
	}

	async bootstrap(): Promise<void> {
		await Promise.all(hosts.map(async host => this.start(host)));
		await this.waitFor(() => this.leader !== undefined);
	}

	dispose(): void {
		for (const member of this.members.values()) {
			member.dispose();
		}
	}
}

/** Runs a function with a new folder in `root` and removes the folder afterwards. */
export async function withTemporaryFolder<Result>(root: string, run: (folder: string) => Promise<Result>): Promise<Result> {
	const folder = await mkdtemp(path.join(root, 'bench-consensus-'));
	try {
		return await run(folder);
	} finally {
		await rm(folder, {recursive: true});
	}
}

/** Throughput, latency and cost of commits with a number of concurrent clients. */
export interface CommitResult {
	readonly clients: number;
	readonly commitsPerSecond: number;
	readonly megabytesPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly entriesPerSync: number;
	readonly meanSyncMs: number;
	/** Number of cores used by the three members and the clients together. */
	readonly cpuShare: number;
}

/** Proposes commands for `runMs`; each client waits for its commit before it proposes again. */
export async function measureCommits(root: string, clients: number, runMs = 4000): Promise<CommitResult> {
	return withTemporaryFolder(root, async folder => {
		const group = new ConsensusGroup(folder, 20_000);
		await group.bootstrap();
		const {leader} = group;
		const latencies: number[] = [];
		const cpu = process.cpuUsage();
		group.syncs.count = 0;
		group.syncs.totalMs = 0;
		const start = performance.now();
		await Promise.all(Array.from({length: clients}, async () => {
			while (performance.now() < start + runMs) {
				const before = performance.now();
				// eslint-disable-next-line no-await-in-loop -- each client has one proposal in flight
				await leader.propose(command);
				latencies.push(performance.now() - before);
			}
		}));
		const seconds = (performance.now() - start) / 1000;
		const cpuUsed = process.cpuUsage(cpu);
		latencies.sort((a, b) => a - b);
		const quantileMs = (share: number) => Number(latencies[Math.floor(latencies.length * share)]!.toFixed(2));
		group.dispose();
		return {
			clients,
			commitsPerSecond: Math.round(latencies.length / seconds),
			megabytesPerSecond: Number((latencies.length * commandBytes / seconds / 1e6).toFixed(2)),
			p50Ms: quantileMs(0.5),
			p99Ms: quantileMs(0.99),
			entriesPerSync: Number((latencies.length * hosts.length / group.syncs.count).toFixed(1)),
			meanSyncMs: Number((group.syncs.totalMs / group.syncs.count).toFixed(2)),
			cpuShare: Number(((cpuUsed.user + cpuUsed.system) / 1e6 / seconds).toFixed(2)),
		};
	});
}
