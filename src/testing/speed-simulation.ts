import {type Clock} from '../common/base/clock.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {AffinityPlacement} from '../common/forwarding/placement.js';
import {ServerRecord} from '../common/forwarding/server-pool.js';
import {noWeights, type ServerWeights} from '../common/forwarding/server-weights.js';
import {ReceivedWeights} from '../common/speeds/received-weights.js';
import {SpeedEstimates} from '../common/speeds/speed-estimates.js';
import {SpeedReporter} from '../common/speeds/speed-reporter.js';
import {SimulationTime} from './engine-queue.js';
import {testBackend} from './forwarder-fixture.js';
import {SizedServer} from './sized-server.js';

/** A deployment, its load and what happens to it. */
export interface SpeedLoad {
	readonly seed: number;
	readonly hosts: number;
	readonly servers: number;
	readonly zones: number;
	/** Requests a second of all hosts. */
	readonly perSecond: number;
	/** Share of the time of all servers that the requests take. */
	readonly utilization: number;
	/** Speed of a server by its index. */
	readonly speedOf: (index: number) => number;
	/** Number of requests that a server processes at a time; 1 for an engine, which processes one prompt at a time. */
	readonly slots: number;
	/** Number of prompt parts that requests share; 0 for a plain service. */
	readonly parts: number;
	readonly hasNoise: boolean;
	readonly durationMs: number;
	/** Where the hosts get the weights from. */
	readonly weights: 'estimated' | 'known' | 'none';
	/** Called every 100 ms. */
	readonly onTick?: (simulation: SpeedSimulation, now: number) => void;
}

/** A sent request. */
export interface SentRequest {
	readonly at: number;
	readonly server: number;
	readonly workMs: number;
	firstEventMs: number;
}

const tickMs = 100;
const renewalMs = 1000;
/** Time in milliseconds for which the leader holds a renewal. */
const holdMs = 900;
/** Time in milliseconds of a message between two hosts. */
const networkMs = 2;

/** Plays requests from hosts that see only their own requests, with the renewals of the hosts at a leader. */
export class SpeedSimulation {
	readonly time = new SimulationTime();
	readonly servers: readonly SizedServer[];
	readonly sent: SentRequest[] = [];
	/** Sizes in bytes of the parts that the hosts sent and received, by host. */
	readonly bytes: Array<{sent: number; received: number}>;
	readonly hosts;
	readonly clock: Clock;
	readonly records;
	private readonly _random: SeededRandom;
	private readonly _meanWorkMs: number;

	constructor(private readonly _load: SpeedLoad) {
		const {seed, hosts, servers, zones, speedOf, slots, hasNoise, durationMs, weights, perSecond, utilization} = _load;
		this._random = new SeededRandom(seed);
		const {time} = this;
		this.clock = {
			now: () => time.now, wallTime: () => time.now, setTimer: () => ({dispose: () => undefined}),
		};
		this.servers = Array.from({length: servers}, (_, index) => new SizedServer(time, this._random.fork(`server ${index}`), speedOf(index), slots, hasNoise, durationMs));
		const capacity = this.servers.reduce((sum, {speed}) => sum + (speed * slots), 0);
		this._meanWorkMs = 1000 * utilization * capacity / perSecond;
		const backends = this.servers.map((_, index) => testBackend(`engine-${index}`, {zone: `z${index % zones}`, capacity: slots === 1 ? 16 : slots, incarnation: 1_800_000_000_000}));
		const known: ServerWeights = {of: ({server: {id}}) => this._speedNow(Number(id.slice('engine-'.length)))};
		this.records = backends;
		this.bytes = Array.from({length: hosts}, () => ({sent: 0, received: 0}));
		this.hosts = Array.from({length: hosts}, (_, index) => {
			const received = new ReceivedWeights();
			const random = this._random.fork(`host ${index}`);
			return {
				received, reporter: new SpeedReporter(this.clock, received), zone: `z${index % zones}`, records: backends.map(backend => new ServerRecord(backend)),
				placement: new AffinityPlacement(random, {estimated: received, known, none: noWeights}[weights]),
			};
		});
	}

	/** Creates a leader, which replaces the one before. */
	createLeader(): SpeedEstimates {
		return new SpeedEstimates({
			clock: this.clock, logger: nullLogger, counters: nullCounters, state: {backendServers: new Map(this.records.map(backend => [backend.id, backend]))},
		});
	}

	run(): this {
		const {time} = this;
		const {durationMs, onTick} = this._load;
		const leader = this.createLeader();
		for (const [index] of this.hosts.entries()) {
			time.at(this._random.next() * renewalMs, () => {
				this._renew(index, leader);
			});
		}

		for (let at = 0; at < durationMs; at += tickMs) {
			time.at(at, () => onTick?.(this, at));
		}

		this._scheduleArrival();
		time.run();
		return this;
	}

	private _speedNow(index: number): number {
		const {speed, factor} = this.servers[index]!;
		return speed * factor;
	}

	private _renew(index: number, leader: SpeedEstimates): void {
		const {time} = this;
		const {reporter} = this.hosts[index]!;
		const sender = {host: `host-${index}`, incarnation: 1};
		const report = reporter.collect(1);
		this.bytes[index]!.sent += sizeOf(report);
		const start = time.now;
		time.at(start + networkMs, () => {
			if (report) {
				leader.receive(sender, report);
			}
		});
		time.at(start + networkMs + holdMs, () => {
			const reply = leader.reply(sender);
			this.bytes[index]!.received += sizeOf(reply);
			time.at(time.now + networkMs, () => {
				reporter.acknowledge(1, report, reply);
			});
		});
		if (start + renewalMs < this._load.durationMs) {
			time.at(start + renewalMs, () => {
				this._renew(index, leader);
			});
		}
	}

	private _scheduleArrival(): void {
		const next = this.time.now - (Math.log(1 - this._random.next()) * 1000 / this._load.perSecond);
		if (next < this._load.durationMs) {
			this.time.at(next, () => {
				this._arrive();
				this._scheduleArrival();
			});
		}
	}

	private _arrive(): void {
		const random = this._random;
		const {parts} = this._load;
		const {zone, placement, records, reporter} = this.hosts[random.integer(this.hosts.length)]!;
		const part = parts > 0 && random.next() < 0.7 ? `p${random.integer(parts)}` : undefined;
		const size = 0.5 + random.next();
		const ownMs = this._meanWorkMs * size;
		const record = placement.choose({
			service: 's', affinityKey: part, subjectKey: part === undefined ? undefined : `q${random.integer(1_000_000)}`, work: size, zone,
		}, records, this.time.now)!;
		const startedAt = this.time.now;
		const index = records.indexOf(record);
		const sent: SentRequest = {
			at: startedAt, server: index, workMs: ownMs, firstEventMs: Infinity,
		};
		this.sent.push(sent);
		record.inFlight++;
		const probe = reporter.observe({
			record, service: 's', route: 'r', model: parts > 0 ? 'm' : undefined, inputTokens: parts > 0 ? size * 1000 : 0, sentAt: startedAt,
		});
		this.servers[index]!.run({
			part, partMs: 0, ownMs, answerKib: parts > 0 ? 1 : 0, msPerKib: 600 * (0.8 + (0.4 * random.next())),
		}, {
			onFirstEvent: () => {
				sent.firstEventMs = this.time.now - startedAt;
				probe.recordFirstEvent(this.time.now);
			},
			onPace(msPerKib) {
				if (parts > 0) {
					probe.recordPace(msPerKib);
				}
			},
			onEnd() {
				record.inFlight--;
				probe.end();
			},
		});
	}
}

function sizeOf(part: unknown): number {
	return part === undefined ? 0 : JSON.stringify(part).length;
}
