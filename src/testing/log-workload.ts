import {sleep} from '../common/base/sleep.js';
import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {LogChecker} from './log-checker.js';
import {LogCluster, type LogClusterOptions} from './log-cluster.js';
import {type LogHost} from './log-host.js';

/** Clients that propose at the same time. */
const clientCount = 4;
/** Time in milliseconds in which all proposals must end after the faults: far above any time-out of a member. */
const clientEndMs = 30_000;

/** Runs clients against a cluster under random faults. The same seed gives the same run. */
export class LogWorkload {
	readonly cluster: LogCluster;
	readonly checker: LogChecker;
	/** Number of disks lost so far. */
	lostDisks = 0;
	private readonly _random: RandomSource;
	private _isDone = false;
	private _commands = 0;

	constructor(seed: number, options: LogClusterOptions = {}) {
		this.cluster = new LogCluster(seed, options);
		this.checker = new LogChecker(this.cluster);
		this._random = new SeededRandom(seed).fork('workload');
	}

	/** Runs a number of fault steps, heals everything, waits until all members are equal, and checks. @returns the violations. */
	async run(steps: number): Promise<string[]> {
		const {cluster, checker} = this;
		this._startAll();
		await cluster.waitForLeader();
		const clients = Array.from({length: clientCount}, async () => this._client());
		for (let step = 0; step < steps; step++) {
			// eslint-disable-next-line no-await-in-loop -- one fault after another
			await this._step();
		}

		await this._heal();
		this._isDone = true;
		await this._endClients(clients);
		checker.finish();
		cluster.dispose();
		return [...checker.violations];
	}

	/** Lets time pass until all clients have ended; in a group that no longer works a proposal may never end. */
	private async _endClients(clients: ReadonlyArray<Promise<void>>): Promise<void> {
		let isEnded = false;
		void (async () => {
			await Promise.all(clients);
			isEnded = true;
		})();

		await this.cluster.clock.advance(2000);
		if (!await this.cluster.clock.advanceUntil(() => isEnded, clientEndMs)) {
			this.checker.violations.add('a proposal has no outcome');
		}
	}

	/** Starts a host that is down, while the clock is moved elsewhere. */
	private async _start(name: string): Promise<void> {
		if (this.cluster.host(name).isUp) {
			return;
		}

		const error = await this.cluster.launch(name, true, host => {
			this.checker.watch(host);
		});
		if (error) {
			this.checker.violations.add(`refused to start: ${error.code}`);
		}
	}

	private async _client(): Promise<void> {
		const {cluster, checker} = this;
		while (!this._isDone) {
			const host = this._random.next() < 0.8 ? cluster.leader : this._pick();
			if (host?.member) {
				// eslint-disable-next-line no-await-in-loop -- a client proposes one command at a time
				await checker.propose(host, `command ${this._commands++}`);
			}

			// eslint-disable-next-line no-await-in-loop -- as above
			await sleep(cluster.clock, this._random.integer(40));
		}
	}

	private async _step(): Promise<void> {
		const {clock, network} = this.cluster;
		const actions: Array<[number, () => void | Promise<void>]> = [
			[20, () => undefined],
			[12, async () => this._restart(this._pick())],
			[6, () => {
				this._crashDuringWrite(this._pick());
			}],
			[8, () => {
				network.partition([this._pick().name], this.cluster.names);
			}],
			[8, () => {
				network.cut(this._pick().name, this._pick().name);
			}],
			[20, () => {
				network.heal();
			}],
			[6, () => {
				Object.assign(network.faults, {lossRate: this._random.next() * 0.2, duplicateRate: this._random.next() * 0.2, maxDelayMs: 1 + this._random.integer(60)});
			}],
			[8, () => {
				this.cluster.leader?.member?.transferLeadership();
			}],
			[6, () => {
				this._loseDisk(this._pick());
			}],
			[4, () => {
				this._pick().disk.syncDelayMs = this._random.integer(30);
			}],
			[4, () => {
				this._restartAll();
			}],
		];
		let choice = this._random.integer(actions.reduce((sum, [weight]) => sum + weight, 0));
		const [, act] = actions.find(([weight]) => {
			choice -= weight;
			return choice < 0;
		})!;
		await act();
		const end = clock.now() + this._random.integer(600);
		while (clock.now() < end) {
			// eslint-disable-next-line no-await-in-loop -- leases are checked as time passes
			await clock.advance(20);
			this.checker.checkLeases();
		}
	}

	private async _restart(host: LogHost): Promise<void> {
		this.cluster.kill(host.name);
		await this.cluster.clock.advance(this._random.integer(2000));
		void this._start(host.name);
	}

	private _startAll(): void {
		for (const name of this.cluster.names) {
			void this._start(name);
		}
	}

	private _restartAll(): void {
		for (const name of this.cluster.names) {
			this.cluster.kill(name);
		}

		this._startAll();
	}

	/** Power loss in the middle of a change of the disk. */
	private _crashDuringWrite(host: LogHost): void {
		host.disk.crashAfter(1 + this._random.integer(8), () => {
			this.cluster.kill(host.name);
			this.cluster.clock.setTimer(this._random.integer(1000), () => {
				void this._start(host.name);
			});
		});
	}

	/** Loses a disk, provided that no earlier loss is still under repair: two lost disks of three may lose data. */
	private _loseDisk(host: LogHost): void {
		const leader = this.cluster.leader?.member;
		const identities = new Set(this.cluster.members.map(member => member.identity));
		const isRepaired = leader?.isMembershipCommitted && leader.members.length === this.cluster.names.length
			&& leader.members.every(member => member.isVoter && identities.has(member.id));
		if (isRepaired) {
			this.lostDisks++;
			this.cluster.kill(host.name);
			host.disk.wipe();
			void this._start(host.name);
		}
	}

	private async _heal(): Promise<void> {
		const {network, clock} = this.cluster;
		network.heal();
		Object.assign(network.faults, {lossRate: 0, duplicateRate: 0, maxDelayMs: 1});
		for (const host of this.cluster.hosts.values()) {
			host.disk.crashAfter(Infinity, () => undefined);
		}

		await clock.advance(2000);
		this._startAll();
		await clock.advance(10_000);
		const isWorking = this.cluster.leader !== undefined && typeof await this.cluster.propose('last') === 'number';
		if (!isWorking) {
			this.checker.violations.add('not working after all faults are healed');
		}

		for (const host of this.cluster.hosts.values()) {
			if (host.fatal) {
				this.checker.violations.add(`member stopped: ${host.fatal}`);
			}
		}
	}

	private _pick(): LogHost {
		return this.cluster.host(this.cluster.names[this._random.integer(this.cluster.names.length)]!);
	}
}
