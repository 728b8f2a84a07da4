import process from 'node:process';
import {nullCounters} from '../src/common/base/null-counters.js';
import {nullLogger} from '../src/common/base/null-logger.js';
import {type PeerTransport} from '../src/common/base/peer-transport.js';
import {SeededRandom} from '../src/common/base/seeded-random.js';
import {BackendObserver} from '../src/common/control/backend-observer.js';
import {type ControlCommand} from '../src/common/control/control-command.js';
import {ControlNode} from '../src/common/control/control-node.js';
import {ControlReplica} from '../src/common/control/control-replica.js';
import {type ControlResult} from '../src/common/control/control-result.js';
import {ControlState} from '../src/common/control/control-state.js';
import {type AgedLoad} from '../src/common/control/load-tuple.js';
import {LoadReporter} from '../src/common/control/load-reporter.js';
import {type RenewReply, type RenewRequest} from '../src/common/control/renew-message.js';
import {type HostConfig} from '../src/common/host/host-config.js';
import {LeaderDuties} from '../src/common/host/leader-duties.js';
import {LocalLog} from '../src/testing/local-log.js';
import {ManualClock} from '../src/testing/manual-clock.js';
import {createDocument, createEngine, zones} from './control-rig-data.js';
import {RigTraffic, type TrafficSetting} from './control-rig-traffic.js';

/** Size of a measured system. Each service has its own engines and its own 16 versions. */
export interface RigSize {
	readonly daemons: number;
	readonly engines: number;
	readonly services: number;
	/** With traffic, renewals also carry evidence and budgets. */
	readonly traffic?: TrafficSetting;
}

/** Means per renewal, and the periodic work of the leader per second. */
export interface RigResult {
	readonly requestBytes: number;
	readonly replyBytes: number;
	/** Time to parse, handle and answer a renewal at the leader, in microseconds. */
	readonly leaderUs: number;
	/** Time to write a renewal and apply its reply at a daemon, in microseconds. */
	readonly daemonUs: number;
	/** Time for timers and subset planning at the leader, in milliseconds per second. */
	readonly sweepMs: number;
	/** Bytes of each section in requests and replies together. */
	readonly sectionBytes: Readonly<Record<string, number>>;
	readonly requestText: string;
	readonly replyText: string;
}

type Daemon = {host: string; replica: ControlReplica; observer: BackendObserver; loads: LoadReporter; traffic?: RigTraffic};
/** Settings of the leader; the rig does not load models. */
const rigConfig: HostConfig = {
	host: 'entry-0', zone: 'zone-0', region: 'main', voters: new Map(), bootstrap: false, keepSeconds: 10, ledgerLingerMs: 0, loadIntervalSeconds: 30, maxConcurrent: 1000,
};

type Handler = (params: unknown, from: string) => Promise<unknown>;

/** Runs a leader and many daemons in one process with the real control classes; they exchange JSON text and share a manual clock. */
export class ControlRig {
	static async start(size: RigSize): Promise<ControlRig> {
		const rig = new ControlRig(size);
		await rig._join();
		return rig;
	}

	private readonly _clock = new ManualClock();
	private readonly _random = new SeededRandom(7);
	private readonly _state = new ControlState();
	private readonly _log: LocalLog<ControlCommand, ControlResult>;
	private readonly _handlers = new Map<string, Handler>();
	private readonly _leader: ControlNode;
	private readonly _daemons: Daemon[];
	private readonly _duties?: LeaderDuties;
	private readonly _sectionBytes = new Map<string, number>();
	private _changes = 0;

	private constructor(private readonly _size: RigSize) {
		this._log = new LocalLog('entry-0', this._state);
		this._leader = new ControlNode({
			entry: this._entryHost(0),
			voters: () => ['entry-0'],
			transport: this._transport(),
			clock: this._clock,
			random: this._random.fork('leader'),
			counters: nullCounters,
			logger: nullLogger,
			prober: {probe: async () => true},
			voter: {log: this._log, state: this._state},
		});
		if (_size.traffic) {
			this._duties = new LeaderDuties({
				cfg: rigConfig, clock: this._clock, counters: nullCounters, logger: nullLogger, transport: this._transport(), orders: {send: async () => undefined},
			}, {log: this._log, state: this._state}, this._leader.service!);
		}

		this._daemons = Array.from({length: _size.daemons}, (_, index) => this._createDaemon(index));
	}

	/** Renews the lease of each daemon once a second, for a number of seconds. */
	async run(rounds: number): Promise<RigResult> {
		const sum = {
			requestBytes: 0, replyBytes: 0, leaderUs: 0, daemonUs: 0,
		};
		let [requestText, replyText, sweepMs] = ['', '', 0];
		this._sectionBytes.clear();
		for (let round = 0; round < rounds; round++) {
			for (const daemon of this._daemons) {
				// eslint-disable-next-line no-await-in-loop -- one renewal at a time
				const {request, reply, leaderUs, daemonUs} = await this._renew(daemon);
				sum.requestBytes += request.length;
				sum.replyBytes += reply.length;
				sum.leaderUs += leaderUs;
				sum.daemonUs += daemonUs;
				[requestText, replyText] = [request, reply];
			}

			const start = performance.now();
			// eslint-disable-next-line no-await-in-loop -- rounds follow each other
			await this._clock.advance(1000);
			sweepMs += performance.now() - start;
		}

		const count = rounds * this._daemons.length;
		return {
			requestBytes: sum.requestBytes / count,
			replyBytes: sum.replyBytes / count,
			leaderUs: sum.leaderUs / count,
			daemonUs: sum.daemonUs / count,
			sweepMs: sweepMs / rounds,
			sectionBytes: Object.fromEntries([...this._sectionBytes].map(([name, bytes]) => [name, bytes / count])),
			requestText,
			replyText,
		};
	}

	/** Submits one change before each renewal of one daemon and measures its log entry. */
	async runChanges(count: number): Promise<{entryBytes: number; applyUs: number}> {
		const [daemon] = this._daemons;
		let [entryBytes, applyUs] = [0, 0];
		for (let change = 0; change < count; change++) {
			// eslint-disable-next-line no-await-in-loop -- changes follow each other
			await this._submit(0);
			// eslint-disable-next-line no-await-in-loop -- one renewal at a time
			const {reply} = await this._renew(daemon!);
			const {entries} = JSON.parse(reply) as RenewReply;
			entryBytes += JSON.stringify(entries).length;
			const copy = new ControlState();
			const start = performance.now();
			for (const entry of entries) {
				copy.apply(entry.index, entry.command!);
			}

			applyUs += (performance.now() - start) * 1000;
		}

		return {entryBytes: entryBytes / count, applyUs: applyUs / count};
	}

	/** Measures the size of the control state after a number of changes. */
	async measureState(changes: number): Promise<{snapshotBytes: number; snapshotMs: number; restoreMs: number; heapBytes: number | undefined}> {
		for (let change = 0; change < changes; change++) {
			// eslint-disable-next-line no-await-in-loop -- changes follow each other
			await this._submit(change % 10);
		}

		const start = performance.now();
		const text = JSON.stringify(this._state.snapshot());
		const written = performance.now();
		const copies: ControlState[] = [];
		const restore = () => {
			const copy = new ControlState();
			copy.restore(JSON.parse(text));
			copies.push(copy);
		};

		restore();
		const restored = performance.now();
		const {gc} = globalThis as {gc?: () => void};
		gc?.();
		const before = process.memoryUsage().heapUsed;
		restore();
		gc?.();
		const heapBytes = gc && process.memoryUsage().heapUsed - before;
		return {
			snapshotBytes: text.length, snapshotMs: written - start, restoreMs: restored - written, heapBytes: copies.length > 0 ? heapBytes : undefined,
		};
	}

	dispose(): void {
		this._duties?.dispose();
		this._leader.dispose();
		for (const {replica} of this._daemons) {
			replica.dispose();
		}
	}

	private async _renew({host, replica, observer, loads, traffic}: Daemon) {
		traffic?.recordOneSecond();
		const start = performance.now();
		const request: RenewRequest = {
			host, incarnation: 1, applied: replica.applied, holdMs: 0, parts: {observations: observer.collect(), loads: loads.collect(), ...traffic?.collect(this._log.term)},
		};
		const requestText = JSON.stringify(request);
		const sent = performance.now();
		const replyText = JSON.stringify(await this._handlers.get('control.renew')!(JSON.parse(requestText), host));
		const answered = performance.now();
		const reply = JSON.parse(replyText) as RenewReply;
		replica.accept(reply, this._clock.now());
		observer.acknowledge(reply.term, undefined, undefined);
		loads.acknowledge(reply.term, undefined, reply.parts.loads as undefined);
		traffic?.acknowledge(reply);
		const applied = performance.now();
		if (!reply.granted) {
			throw new Error(`the leader did not grant a lease to ${host}`);
		}

		this._countSections(request.parts);
		this._countSections(reply.parts);
		return {
			request: requestText, reply: replyText, leaderUs: (answered - sent) * 1000, daemonUs: (sent - start + (applied - answered)) * 1000,
		};
	}

	private _countSections(parts: Readonly<Record<string, unknown>>): void {
		for (const [name, part] of Object.entries(parts).filter(([, part]) => part !== undefined)) {
			const bytes = JSON.stringify(part).length + name.length + 4;
			this._sectionBytes.set(name, (this._sectionBytes.get(name) ?? 0) + bytes);
		}
	}

	private async _join(): Promise<void> {
		for (let index = 0; index < this._size.daemons; index++) {
			// eslint-disable-next-line no-await-in-loop -- joins follow each other
			await this._log.propose({type: 'entry-joined', entry: {...this._entryHost(index), leaving: false}});
		}

		for (let index = 0; index < this._size.engines; index++) {
			// eslint-disable-next-line no-await-in-loop -- joins follow each other
			await this._log.propose({type: 'backend-joined', server: createEngine(index, this._size.services), at: this._clock.wallTime()});
		}

		for (let index = 0; index < this._size.services; index++) {
			// eslint-disable-next-line no-await-in-loop -- changes follow each other
			await this._submit(index);
		}
	}

	private async _submit(service: number): Promise<void> {
		await this._log.propose({type: 'submit-document', changeId: `change-${this._changes++}-0123456789abcdef`, document: createDocument(service, this._size.traffic?.customers)});
	}

	private _createDaemon(index: number): Daemon {
		const engineIndexes = Array.from({length: this._size.engines}, (_, engineIndex) => engineIndex).filter(engineIndex => engineIndex % this._size.daemons === index);
		const registrar = {loads: () => engineIndexes.map(engineIndex => this._drawLoad(engineIndex)), silentServers: () => []};
		const replica = new ControlReplica(this._clock);
		return {
			host: `entry-${index}`, replica, observer: new BackendObserver(registrar, {probe: async () => true}, replica.state), loads: new LoadReporter(registrar, this._clock),
			traffic: this._size.traffic && new RigTraffic(`entry-${index}`, this._clock, this._random.fork(`traffic-${index}`), this._size.traffic),
		};
	}

	private _drawLoad(index: number): AgedLoad {
		const random = this._random;
		return {
			id: createEngine(index).id,
			incarnation: createEngine(index).incarnation,
			ageMs: random.integer(1000),
			running: random.integer(64),
			queued: random.integer(16),
			queuedTokens: random.integer(40_000),
			prefillRate: 5000 + random.integer(5000),
			decodeRate: 500 + random.integer(1500),
		};
	}

	private _entryHost(index: number) {
		return {
			host: `entry-${index}`, incarnation: 1, address: `10.0.0.${index}:8080`, peerAddress: `10.0.0.${index}:9090`, zone: `zone-${index % zones}`,
		};
	}

	private _transport(): PeerTransport {
		return {
			self: 'entry-0',
			async call() {
				throw new Error('the leader in the rig does not call peers');
			},
			handle: (method, handler) => {
				this._handlers.set(method.name, handler as Handler);
				return {dispose: () => this._handlers.delete(method.name)};
			},
		};
	}
}
