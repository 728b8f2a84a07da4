import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {sleep} from '../common/base/sleep.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type EntryServices} from '../common/entry/entry-services.js';
import {LedgerReader} from '../common/ledger/ledger-reader.js';
import {type LedgerQueryResult} from '../common/ledger/ledger-methods.js';
import {nullCounters} from '../common/base/null-counters.js';
import {ManualClock} from '../testing/manual-clock.js';
import {MemoryNetwork} from '../testing/memory-network.js';
import {EmulatedBackends} from './emulated-backends.js';
import {SimulatedHost} from './simulated-host.js';
import {modelVersions} from './simulation-documents.js';
import {RunHistory} from './run-history.js';

/** Options of `FaultSimulation`. */
export interface FaultSimulationOptions {
	readonly hosts?: number;
	readonly voters?: number;
	readonly alterServices?: (services: EntryServices) => EntryServices;
}

const announceMs = 1000;

/** Simulates hosts, backend servers and their network on one clock. */
export class FaultSimulation {
	readonly clock = new ManualClock();
	readonly history = new RunHistory();
	readonly random: RandomSource;
	readonly network: MemoryNetwork;
	readonly backends: EmulatedBackends;
	readonly hosts: readonly SimulatedHost[];
	readonly voters: readonly string[];
	private _incarnation = 1;

	constructor(seed: number, options: FaultSimulationOptions = {}) {
		this.random = new SeededRandom(seed);
		this.network = new MemoryNetwork(this.clock, this.random.fork('network'));
		this.network.faults.maxDelayMs = 3;
		this.backends = new EmulatedBackends(this.clock, this.random.fork('farm'), this.history);
		const names = Array.from({length: options.hosts ?? 9}, (_, index) => `e${index + 1}`);
		this.voters = names.slice(0, options.voters ?? 3);
		this.hosts = names.map(name => new SimulatedHost(name, {
			clock: this.clock, network: this.network, backends: this.backends, history: this.history, random: this.random.fork(name), voters: this.voters, alterServices: options.alterServices,
		}));
	}

	/** Starts all hosts and backend servers, and waits until every host has a lease and knows all backend servers. */
	async start(): Promise<void> {
		for (const host of this.hosts) {
			void host.start();
		}

		for (const ref of modelVersions) {
			this._addServer(`${ref.split('@')[0]}-1`, ref);
			this._addServer(`${ref.split('@')[0]}-2`, ref);
		}

		this._addServer('booking-1', undefined);
		this._addServer('booking-2', undefined);
		const isReady = () => this.hosts.every(({host}) => host?.control.follower.lease.isValid() && host.control.follower.view.backendServers.size === this.backends.servers.size);
		if (!await this.clock.advanceUntil(isReady, 30_000, 50)) {
			throw new Error('the hosts did not become ready within 30 s');
		}
	}

	/** Restarts a backend server with a new incarnation. */
	restartServer(id: string): void {
		const target = this.backends.servers.get(id)!;
		target.server = {...target.server, incarnation: ++this._incarnation};
		target.isUp = true;
	}

	/** Deregisters a backend server; it stops its announcements and breaks its answers. */
	async deregisterServer(id: string): Promise<void> {
		const target = this.backends.servers.get(id)!;
		target.isUp = false;
		const registrarHost = this.hosts.find(({isUp}) => isUp);
		await Promise.allSettled([registrarHost?.host?.control.registrar.leave(target.server)]);
	}

	/** Queries the leader of the ledger. */
	async queryLedger(what: 'bills' | 'open' | 'unknown' | 'changes'): Promise<LedgerQueryResult> {
		const transport = this.network.attach(`reader-${what}`);
		const reader = new LedgerReader({
			transport, clock: this.clock, random: this.random, counters: nullCounters, voters: () => this.voters,
		});
		return this.settle(reader.query({what, limit: 1000}));
	}

	/** Advances the clock until a promise settles. */
	async settle<Value>(promise: Promise<Value>, limitMs = 30_000): Promise<Value> {
		let isSettled = false;
		const mark = async () => {
			await Promise.allSettled([promise]);
			isSettled = true;
		};

		void mark();
		if (!await this.clock.advanceUntil(() => isSettled, limitMs, 20)) {
			throw new Error(`not settled within ${limitMs} ms`);
		}

		return promise;
	}

	dispose(): void {
		for (const host of this.hosts) {
			host.stop();
		}
	}

	private _addServer(id: string, ref: string | undefined): void {
		const server: BackendServer = {
			id,
			incarnation: this._incarnation++,
			address: `${id}:80`,
			zone: `zone-${id.at(-1)}`,
			kind: ref === undefined ? 'plain' : 'engine',
			offers: ref === undefined ? [] : [{ref, inputCost: 1, outputCost: modelVersions.indexOf(ref as typeof modelVersions[number]) + 1}],
			services: ref === undefined ? ['bookings'] : [],
			checksFencing: false,
			checksSender: false,
			capacity: 100,
			canResume: id.endsWith('1'),
		};
		this.backends.servers.set(id, {server, isUp: true, cutFrom: new Set()});
		void this._announce(id);
	}

	/** Announces a backend server every second; after a failed announcement it uses the next host. */
	private async _announce(id: string): Promise<void> {
		const target = this.backends.servers.get(id)!;
		let hostIndex = this.random.integer(this.hosts.length);
		for (;;) {
			if (target.isUp) {
				const {host} = this.hosts[hostIndex % this.hosts.length]!;
				const announced = host?.control.registrar.announce(target.server, {
					running: 0, queued: 0, queuedTokens: 0, prefillRate: 1000, decodeRate: 1000,
				});
				// eslint-disable-next-line no-await-in-loop -- announcements follow one another
				const isAccepted = announced !== undefined && await this._isAccepted(announced);
				hostIndex += isAccepted ? 0 : 1;
			}

			// eslint-disable-next-line no-await-in-loop -- pause between announcements
			await sleep(this.clock, announceMs);
		}
	}

	private async _isAccepted(announced: Promise<{status: string}>): Promise<boolean> {
		const timeout = async () => {
			await sleep(this.clock, announceMs);
			return {status: 'late'};
		};

		try {
			const {status} = await Promise.race([announced, timeout()]);
			return status === 'accepted';
		} catch {
			return false;
		}
	}
}
