import {HeldBytes} from '../common/base/held-bytes.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {PeerCallError} from '../common/base/peer-errors.js';
import {type PeerTransport} from '../common/base/peer-transport.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {sleep} from '../common/base/sleep.js';
import {type TextCodec} from '../common/base/text-codec.js';
import {DiskLogStorage} from '../common/consensus/disk-log-storage.js';
import {renewMethod} from '../common/control/control-methods.js';
import {ControlHost} from '../common/host/control-host.js';
import {ForwardHost} from '../common/host/forward-host.js';
import {defaultMachines} from './configuration-machines.js';
import {
	applyBoundMs, type AcknowledgedChange, type ConfigurationChange, type ConfigurationOutcome,
} from './configuration-outcome.js';
import {LeaderProbe} from './leader-probe.js';
import {ManualClock} from './manual-clock.js';
import {MemoryDisk} from './memory-disk.js';
import {MemoryNetwork} from './memory-network.js';
import {parseRoutingSample, RoutingSamples} from './routing-samples.js';
import {ScriptedPort} from './scripted-port.js';
import {
	processorCost, type SimulatedMachine, SimulatedMachines,
} from './simulated-machine.js';
import {type SimulatedProcessor} from './simulated-processor.js';

const probeHost = 'probe';
const initialRoutes = 49;
const syncMs = 2;
const resendMs = 200;

type Entry = {
	readonly host: ForwardHost;
	readonly machine: SimulatedMachine;
	/** Versions with the times at which this host acted by them. */
	readonly applied: Array<{version: number; at: number}>;
};

/** A control group and entry hosts with the processors and links of small machines. */
export class ConfigurationSimulation {
	private readonly _clock = new ManualClock();
	private readonly _random = new SeededRandom(1);
	private readonly _machines = new SimulatedMachines(this._clock);
	private readonly _network = new MemoryNetwork(this._clock, this._random.fork('network'), this._machines);
	private readonly _samples = new RoutingSamples(this._random.fork('routes'));
	private readonly _controlHosts: readonly string[];
	private readonly _controls: ControlHost[] = [];
	private readonly _controlMachines: SimulatedMachine[] = [];
	private readonly _entries: Entry[] = [];
	private readonly _changes: AcknowledgedChange[] = [];
	private readonly _lostLeases = new Set<string>();
	private readonly _leaders = new Set<string>();
	private _refusedRenewals = 0;
	private _unansweredRenewals = 0;
	private readonly _probe: LeaderProbe;
	private _orders = 0;

	/** `_codec` compresses the texts on all hosts. */
	constructor(private readonly _codec: TextCodec, private readonly _sizes = defaultMachines) {
		this._controlHosts = Array.from({length: _sizes.controls}, (_, index) => `c${index}`);
		this._probe = new LeaderProbe(this._clock, () => this._controlHosts.find(host => this._isLeader(host)));
	}

	/** Starts all hosts with a first configuration and waits until they serve. */
	async start(entryHosts: number): Promise<void> {
		for (const host of this._controlHosts) {
			void this._startControl(host);
		}

		await this._require('a leader', () => this._controls.length === this._controlHosts.length && this._controls.every(({leader}) => leader));
		await this._clock.advance(1000);
		void this._order(this._samples.addRoutes(initialRoutes));
		await this._require('a configuration', () => this._changes.length > 0);
		for (let index = 0; index < entryHosts; index++) {
			this._startEntry(`e${index}`);
			await this._clock.advance(1000 / entryHosts); // eslint-disable-line no-await-in-loop -- one after the other
		}

		await this._require('leases', () => this._entries.every(({host}) => host.isReady));
		await this._clock.advance(5000);
		await this._require('leases', () => this._entries.every(({host}) => host.isReady));
		this._machines.add(probeHost, this._sizes.control);
		this._probe.start(this._network.attach(probeHost));
	}

	/** Starts one more entry host. @returns the time until it serves and the bytes over its link. */
	async addHost(): Promise<{readyMs: number; bytes: number}> {
		const startedAt = this._clock.now();
		this._startEntry(`e${this._entries.length}`);
		const {host, machine, applied} = this._entries.at(-1)!;
		await this._require('a lease', () => host.isReady && applied.length > 0);
		return {readyMs: Math.max(this._clock.now(), applied[0]!.at) - startedAt, bytes: machine.bytes};
	}

	/** Plays the orders of an operator, and some time after the last one. The outcome does not include earlier plays. */
	async play(orders: readonly ConfigurationChange[], restMs = 5000): Promise<ConfigurationOutcome> {
		const startedAt = this._clock.now();
		const leader = this._controlMachines[this._controlHosts.indexOf(this._controls[0]!.leader!)]!;
		const before = {usedMs: leader.processor.usedMs, bytes: leader.up.bytes, written: leader.writtenBytes};
		const entryBytes = this._entries.map(({machine}) => machine.bytes);
		this._forget();
		for (const machine of [...this._controlMachines, ...this._entries.map(entry => entry.machine)]) {
			machine.resetWaits();
		}

		let bytesBefore: number[] | undefined;
		for (const {at, routes} of orders) {
			await this._advanceTo(startedAt + at); // eslint-disable-line no-await-in-loop -- in order of time
			if (routes === undefined) {
				bytesBefore ??= this._entries.map(({machine}) => machine.bytes);
			}

			void this._order(routes === undefined ? this._samples.changeTimeout() : this._samples.addRoutes(routes));
		}

		await this._advanceTo(this._clock.now() + restMs);
		await this._require('acknowledgements', () => this._changes.length === orders.length);
		for (const change of this._changes) {
			const delays = this._entries.map(({applied}) => (applied.find(({version}) => version >= change.version)?.at ?? Infinity) - change.ackedAt);
			change.spreadMs = Math.max(...delays);
			change.late = delays.filter(delay => delay > applyBoundMs).length;
		}

		return {
			changes: this._changes.sort((a, b) => a.version - b.version),
			lostLeases: this._lostLeases.size,
			refusedRenewals: this._refusedRenewals,
			refusedProbes: this._probe.refused,
			slowestProbeMs: this._probe.slowestMs,
			unansweredRenewals: this._unansweredRenewals,
			leaders: [...this._leaders],
			changeBytes: Math.max(0, ...this._entries.map(({machine}, index) => machine.bytes - (bytesBefore?.[index] ?? machine.bytes))),
			entryBytes: Math.max(...this._entries.map(({machine}, index) => machine.bytes - entryBytes[index]!)),
			leaderLogBytes: leader.writtenBytes - before.written,
			leaderProcessorMs: leader.processor.usedMs - before.usedMs,
			leaderBytes: leader.up.bytes - before.bytes,
			leaderProcessorWaitMs: leader.processor.longestWaitMs,
			leaderLinkWaitMs: leader.up.longestWaitMs,
			entryProcessorWaitMs: Math.max(...this._entries.map(({machine}) => machine.processor.longestWaitMs)),
			entryLinkWaitMs: Math.max(...this._entries.map(({machine}) => machine.down.longestWaitMs)),
		};
	}

	dispose(): void {
		for (const host of [...this._controls, ...this._entries.map(entry => entry.host)]) {
			host.dispose();
		}
	}

	/** Forgets what earlier plays showed. */
	private _forget(): void {
		this._changes.length = 0;
		this._lostLeases.clear();
		this._leaders.clear();
		this._refusedRenewals = 0;
		this._unansweredRenewals = 0;
		this._probe.reset();
	}

	/** Codec of a host, whose processor also computes the differences and checksums of the texts. */
	private _chargedCodec(processor: SimulatedProcessor): TextCodec {
		return {
			encode: text => {
				processor.charge(this._samples.length * processorCost.difference);
				return this._codec.encode(text);
			},
			decode: data => {
				processor.charge(this._samples.length * processorCost.restore);
				return this._codec.decode(data);
			},
		};
	}

	private async _startControl(host: string): Promise<void> {
		const machine = this._machines.add(host, this._sizes.control);
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
			sessionMs: 60_000,
			exposureLimit: {share: 0.15, slack: 30},
			keepSeconds: 1,
			codec: this._chargedCodec(machine.processor),
		});
	}

	private _startEntry(name: string): void {
		const machine = this._machines.add(name, this._sizes.entry);
		const {processor} = machine;
		const applied: Entry['applied'] = [];
		const host = new ForwardHost({
			held: new HeldBytes(),
			entry: {
				host: name, incarnation: this._clock.wallTime(), address: `${name}:80`, peerAddress: `${name}:80`, zone: 'z',
			},
			seeds: () => this._controlHosts,
			clock: processor,
			random: this._random.fork(name),
			transport: this._observe(this._network.attach(name, processor)),
			counters: nullCounters,
			logger: nullLogger,
			port: new ScriptedPort(),
			peerPort: new ScriptedPort(),
			addresses: {refusesConnections: async () => false, acceptsConnections: async () => true},
			digests: {digest: ({message}) => message.target},
			parseRouting(source) {
				processor.charge(source.length * processorCost.parse);
				return parseRoutingSample(source);
			},
			codec: this._chargedCodec(processor),
			repeatLimit: {share: 0.1, slack: 10, windowMs: 10_000},
			configurationBoundMs: 2000,
			sessionMs: 60_000,
		});
		host.onRouting(({version}) => {
			applied.push({version, at: processor.busyUntil});
		});
		host.follower.onLeaseLost(() => {
			this._lostLeases.add(name);
		});
		this._entries.push({host, machine, applied});
		host.start();
	}

	/** Counts the failed renewals of an entry host. */
	private _observe(transport: PeerTransport): PeerTransport {
		return {
			...transport,
			call: async (peer, method, params, timeoutMs) => {
				try {
					return await transport.call(peer, method, params, timeoutMs);
				} catch (error) {
					if (method.name === renewMethod.name) {
						if (!(error instanceof PeerCallError)) {
							this._unansweredRenewals++;
						} else if (error.peerCode === 'not-leader' && this._isLeader(peer)) {
							this._refusedRenewals++;
						}
					}

					throw error;
				}
			},
		};
	}

	private _isLeader(host: string): boolean {
		return this._controls[this._controlHosts.indexOf(host)]?.leader === host;
	}

	/** Sends a configuration to one control host after the other until it is acknowledged. */
	private async _order({version, source}: {version: number; source: string}): Promise<void> {
		const sentAt = this._clock.now();
		for (;;) {
			const index = this._orders++ % this._controlHosts.length;
			try {
				const {processor} = this._controlMachines[index]!;
				// eslint-disable-next-line no-await-in-loop -- attempts follow each other
				await new Promise<void>(resolve => {
					processor.run(source.length * processorCost.parse, resolve);
				});
				await this._controls[index]!.applyRouting(version, source); // eslint-disable-line no-await-in-loop -- attempts follow each other
				this._changes.push({
					version, size: source.length, sentAt, ackedAt: this._clock.now(), spreadMs: 0, late: 0,
				});
				return;
			} catch {
				await sleep(this._clock, resendMs); // eslint-disable-line no-await-in-loop -- attempts follow each other
			}
		}
	}

	/** Advances the clock and records who leads. */
	private async _advanceTo(end: number): Promise<void> {
		while (this._clock.now() < end) {
			for (const {leader} of this._controls) {
				if (leader !== undefined) {
					this._leaders.add(leader);
				}
			}

			await this._clock.advance(Math.min(20, end - this._clock.now())); // eslint-disable-line no-await-in-loop -- samples
		}
	}

	private async _require(what: string, condition: () => boolean): Promise<void> {
		if (!await this._clock.advanceUntil(condition, 30_000)) {
			throw new Error(`no ${what} within 30 s`);
		}
	}
}
