import {type Clock} from '../common/base/clock.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {leaderLeaseMs, leaseMs} from '../common/control/control-times.js';
import {type EntryHost} from '../common/control/entry-host.js';
import {SharedColdServers} from '../common/forwarding/cold-servers.js';
import {ServerRecord} from '../common/forwarding/server-pool.js';
import {testBackend} from './forwarder-fixture.js';

/** A change of the fleet in `ColdLoad`. */
export interface ColdEvent {
	readonly at: number;
	readonly kind: 'join' | 'leave' | 'restart' | 'cut' | 'heal' | 'cold-process' | 'cold-again' | 'warm';
	/** Picks the host: an even number one that has sent to the cold server lately, an odd one any. */
	readonly pick: number;
}

/** Greedy load on a cold server from all hosts. */
export interface ColdLoad {
	readonly seed: number;
	readonly hosts: number;
	/** Number of requests to the server that are allowed in any second. */
	readonly limit: number;
	readonly durationMs: number;
	readonly events: readonly ColdEvent[];
	/** Whether some hosts get changes of the directory and write requests late. */
	readonly isDelayed: boolean;
}

type Directory = {readonly hosts: ReadonlyMap<string, EntryHost>; readonly server: BackendServer};

/** Largest deviation of a host's clock rate: two hosts differ by at most 1 %. */
const maxDrift = 0.005;
const zones = ['x', 'y', 'z'];
const maxStepMs = 15;
const maxWriteDelayMs = 60;
const maxReplyDelayMs = 500;
/** Longest interval of the renewals of a slow host; the reply must arrive before the lease ends. */
const slowRenewalMs = 3400;

class SimulatedHost {
	incarnation = 1;
	isRunning = true;
	isCut = false;
	view: Directory | undefined;
	private _renewAt = 0;
	private _leaseEnd = -Infinity;
	private _cold: SharedColdServers;
	private _replies: Array<{dueAt: number; directory: Directory; leaseEnd: number}> = [];
	private _writes: Array<{dueAt: number; record: ServerRecord}> = [];
	private readonly _records = new Map<number, ServerRecord>();
	private readonly _clock: Clock;
	private readonly _renewalMs: number;

	constructor(readonly name: string, private readonly _zone: string, private readonly _fleet: ColdFleet, private readonly _random: SeededRandom) {
		const offset = _random.next() * 1_000_000;
		const rate = 1 + (((_random.next() * 2) - 1) * maxDrift);
		this._clock = {
			now: () => offset + (_fleet.now * rate), wallTime: () => 0, setTimer: () => ({dispose: () => undefined}),
		};
		this._renewalMs = _fleet.load.isDelayed && _random.next() < 0.3 ? slowRenewalMs : 500;
		this._cold = this._createCold();
	}

	get entry(): EntryHost {
		return {
			host: this.name, incarnation: this.incarnation, address: `${this.name}:1`, peerAddress: `${this.name}:2`, zone: this._zone, leaving: false,
		};
	}

	restart(): void {
		this.incarnation++;
		this.isRunning = true;
		this.isCut = false;
		this.view = undefined;
		this._leaseEnd = -Infinity;
		this._renewAt = this._fleet.now;
		this._replies = [];
		this._writes = [];
		this._records.clear();
		this._cold = this._createCold();
	}

	step(): void {
		if (this._replies.length > 0) {
			this._receive();
		}

		this._renew();
		const record = this._record();
		if (!record || this._clock.now() >= this._leaseEnd) {
			return;
		}

		if (record.server.coldSince === undefined ? this._random.next() < 0.01 : this._cold.waitMs(record, 's') === 0) {
			this._cold.recordSent(record);
			const isDelayed = this._fleet.load.isDelayed && this._random.next() < 0.5;
			this._writes.push({dueAt: this._fleet.now + (isDelayed ? this._random.next() * maxWriteDelayMs : 0), record});
		}

		if (this._writes.length > 0) {
			this._write();
		}
	}

	private _createCold(): SharedColdServers {
		return new SharedColdServers(this.name, this._clock, () => this._fleet.load.limit);
	}

	private _write(): void {
		for (const {dueAt, record} of this._writes) {
			if (dueAt <= this._fleet.now && this._cold.startWrite(record, 's') && record.server.coldSince !== undefined) {
				this._fleet.record(this, record);
			}
		}

		this._writes = this._writes.filter(({dueAt}) => dueAt > this._fleet.now);
	}

	/** Record of the server's process in the view of this host. */
	private _record(): ServerRecord | undefined {
		const server = this.view?.server;
		if (!server) {
			return undefined;
		}

		let record = this._records.get(server.incarnation);
		if (!record) {
			record = new ServerRecord(server);
			this._records.set(server.incarnation, record);
		}

		record.server = server;
		return record;
	}

	private _renew(): void {
		if (this._fleet.now < this._renewAt || this.isCut) {
			return;
		}

		if (this._fleet.directory.hosts.get(this.name)?.incarnation !== this.incarnation) {
			// It has expired, or has just started.
			this.incarnation = Math.max(this.incarnation, this._fleet.expired.get(this.name) ?? 0) + 1;
			this._fleet.commit({join: this.entry});
		}

		const {now, directory, load} = this._fleet;
		this._renewAt = now + (this._random.next() * this._renewalMs);
		this._fleet.grants.set(this.name, now + leaderLeaseMs);
		this._replies.push({dueAt: now + (load.isDelayed ? this._random.next() * maxReplyDelayMs : 0), directory, leaseEnd: this._clock.now() + leaseMs});
	}

	private _receive(): void {
		const due = this._replies.filter(({dueAt}) => dueAt <= this._fleet.now);
		this._replies = this._replies.filter(({dueAt}) => dueAt > this._fleet.now);
		for (const {directory, leaseEnd} of due) {
			if (leaseEnd <= this._leaseEnd) {
				continue;
			}

			if (directory.hosts !== this.view?.hosts) {
				this._cold.update(directory.hosts.values(), directory.hosts.get(this.name)?.incarnation === this.incarnation ? this.incarnation : undefined);
			}

			this.view = directory;
			if (this._clock.now() >= this._leaseEnd) {
				this._cold.recordLeaseGained();
			}

			this._leaseEnd = leaseEnd;
		}
	}
}

/** Entry hosts with their own clocks and views of a directory, and a server that is cold. */
class ColdFleet {
	now = 0;
	directory: Directory = {hosts: new Map(), server: testBackend('server', {zone: 'y', coldSince: 1})};
	/** Times at which the leases of hosts end for the leader, by name. */
	readonly grants = new Map<string, number>();
	/** Incarnations that have expired, by name. */
	readonly expired = new Map<string, number>();
	/** Times of the requests to each process while the sender knew that it is cold, by incarnation. */
	readonly sent = new Map<number, number[]>();
	private readonly _hosts: SimulatedHost[] = [];
	private _senders: SimulatedHost[] = [];
	private readonly _random: SeededRandom;

	constructor(readonly load: ColdLoad) {
		this._random = new SeededRandom(load.seed);
		for (let index = 0; index < load.hosts; index++) {
			this._add(zones[index % zones.length]!);
		}

		const entries = this._hosts.map(({name, entry}) => [name, entry] as const);
		this.directory = {...this.directory, hosts: new Map(entries)};
	}

	commit(change: {join: EntryHost} | {gone: string} | {server: BackendServer}): void {
		if ('server' in change) {
			this.directory = {...this.directory, server: change.server};
			return;
		}

		const hosts = new Map(this.directory.hosts);
		if ('join' in change) {
			hosts.set(change.join.host, change.join);
		} else {
			hosts.delete(change.gone);
		}

		this.directory = {...this.directory, hosts};
	}

	record(host: SimulatedHost, {server}: ServerRecord): void {
		this.sent.set(server.incarnation, [...(this.sent.get(server.incarnation) ?? []), this.now]);
		this._senders = [host, ...this._senders.filter(other => other !== host)].slice(0, 8);
	}

	run(): void {
		const events = [...this.load.events].sort((left, right) => left.at - right.at);
		while (this.now < this.load.durationMs) {
			this.now += 1 + (this._random.next() * maxStepMs);
			for (; events.length > 0 && events[0]!.at <= this.now; events.shift()) {
				this._apply(events[0]!);
			}

			for (const [name, endsAt] of this.grants) {
				const entry = this.directory.hosts.get(name);
				if (entry && endsAt <= this.now) {
					this.expired.set(name, entry.incarnation);
					this.grants.delete(name);
					this.commit({gone: name});
				}
			}

			for (const host of this._hosts) {
				if (host.isRunning) {
					host.step();
				}
			}
		}
	}

	private _add(zone: string): void {
		const index = this._hosts.length;
		this._hosts.push(new SimulatedHost(`host-${index}`, zone, this, new SeededRandom(this.load.seed + index + 1)));
	}

	private _apply({kind, pick}: ColdEvent): void {
		const recent = this._senders.filter(({isRunning}) => isRunning);
		const host = pick % 2 === 0 && recent.length > 0 ? recent[(pick / 2) % recent.length]! : this._hosts[pick % this._hosts.length]!;
		const {server} = this.directory;
		const changes: Record<ColdEvent['kind'], () => void> = {
			// A host of the server's zone takes the place of another one.
			join: () => {
				this._add(server.zone);
			},
			leave: () => {
				host.isRunning = false;
				this.commit({gone: host.name});
			},
			restart() {
				host.restart();
			},
			cut() {
				host.isCut = true;
			},
			heal: () => {
				for (const other of this._hosts) {
					other.isCut = false;
				}
			},
			'cold-process': () => {
				this.commit({server: {...server, incarnation: server.incarnation + 1, coldSince: this.now}});
			},
			'cold-again': () => {
				this.commit({server: {...server, coldSince: this.now}});
			},
			warm: () => {
				this.commit({server: {...server, coldSince: undefined}});
			},
		};
		changes[kind]();
	}
}

/** Plays a load. @returns the times in milliseconds of the requests to each process of the server by hosts that knew it as cold. */
export function playColdLoad(load: ColdLoad): ReadonlyMap<number, readonly number[]> {
	const fleet = new ColdFleet(load);
	fleet.run();
	return fleet.sent;
}
