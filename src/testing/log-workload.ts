import {sleep} from '../common/base/sleep.js';
import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {LogChecker} from './log-checker.js';
import {LogCluster, type LogClusterOptions} from './log-cluster.js';
import {type LogHost} from './log-host.js';

/** Number of concurrent clients. */
const clientCount = 4;
/** Time in milliseconds within which all proposals must end after the faults; far longer than any timeout of a member. */
const clientTimeoutMs = 30_000;

/** Runs clients against a cluster under random faults; the same seed gives the same run. */
export class LogWorkload {
	readonly cluster: LogCluster;
	readonly checker: LogChecker;
	/** Number of disks lost so far. */
	lostDisks = 0;
	private readonly _random: RandomSource;
	private _isStopping = false;
	private _commands = 0;

	constructor(seed: number, options: LogClusterOptions = {}) {
		this.cluster = new LogCluster(seed, options);
		this.checker = new LogChecker(this.cluster);
		this._random = new SeededRandom(seed).fork('workload');
	}

	/** Runs a number of fault steps, ends all faults, waits until the members have caught up, and checks. @returns the violations. */
	async run(steps: number): Promise<string[]> {
		const {cluster, checker} = this;
		this._startAll();
		await cluster.waitForLeader();
		const clients = Array.from({length: clientCount}, async () => this._client());
		for (let step = 0; step < steps; step++) {
			// eslint-disable-next-line no-await-in-loop -- steps run one after another
			await this._injectFault();
		}

		await this._heal();
		this._isStopping = true;
		await this._waitForClients(clients);
		checker.checkHistory();
		cluster.dispose();
		return [...checker.violations];
	}

	/** Advances the clock until all clients have ended; in a group that no longer works, a proposal may never end. */
	private async _waitForClients(clients: ReadonlyArray<Promise<void>>): Promise<void> {
		let isEnded = false;
		void (async () => {
			await Promise.all(clients);
			isEnded = true;
		})();

		await this.cluster.clock.advance(2000);
		if (!await this.cluster.clock.advanceUntil(() => isEnded, clientTimeoutMs)) {
			this.checker.violations.add('a proposal has no outcome');
		}
	}

	/** Starts a host if it is down, without advancing the clock. */
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
		while (!this._isStopping) {
			const host = this._random.next() < 0.8 ? cluster.leader : this._pickHost();
			if (host?.member) {
				// eslint-disable-next-line no-await-in-loop -- a client proposes one command at a time
				await checker.propose(host, `command ${this._commands++}`);
			}

			// eslint-disable-next-line no-await-in-loop -- as above
			await sleep(cluster.clock, this._random.integer(40));
		}
	}

	private async _injectFault(): Promise<void> {
		const {clock, network} = this.cluster;
		const actions: Array<[number, () => void | Promise<void>]> = [
			[20, () => undefined],
			[12, async () => this._restart(this._pickHost())],
			[6, () => {
				this._crashDuringWrite(this._pickHost());
			}],
			[8, () => {
				network.partition([this._pickHost().name], this.cluster.names);
			}],
			[8, () => {
				network.cut(this._pickHost().name, this._pickHost().name);
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
				this._loseDisk(this._pickHost());
			}],
			[4, () => {
				this._pickHost().disk.syncDelayMs = this._random.integer(30);
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
			// eslint-disable-next-line no-await-in-loop -- leases are checked between the steps
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

	/** Simulates a power loss during a disk operation. */
	private _crashDuringWrite(host: LogHost): void {
		host.disk.crashAfter(1 + this._random.integer(8), () => {
			this.cluster.kill(host.name);
			this.cluster.clock.setTimer(this._random.integer(1000), () => {
				void this._start(host.name);
			});
		});
	}

	/** Wipes a disk unless an earlier loss is still being repaired, because the loss of two disks of three may lose data. */
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

	private _pickHost(): LogHost {
		return this.cluster.host(this.cluster.names[this._random.integer(this.cluster.names.length)]!);
	}
}
