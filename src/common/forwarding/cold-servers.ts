import {type Clock} from '../base/clock.js';
import {hashString} from '../base/hash-string.js';
import {leaderLeaseMs} from '../control/control-times.js';
import {type EntryHost} from '../control/entry-host.js';
import {type ServerRecord} from './server-pool.js';

/** What cold servers bear beyond the rate that the configuration states for them. */
export interface ColdBounds {
	/** Factor on the stated rate. */
	readonly overrun: number;
	/** Number of requests in a second in addition. */
	readonly slack: number;
}

/** Limits the requests of this host to cold servers. */
export interface ColdServers {
	/** Whether this host may send a request of a service to a server now. */
	allows(record: ServerRecord, service: string): boolean;
	/** Records that a request is to be sent to a server. */
	recordSent(record: ServerRecord): void;
	/** Whether a request may be written to a server now; records that it is. */
	startWrite(record: ServerRecord, service: string): boolean;
}

/** Limits nothing. */
export const unlimitedColdServers: ColdServers = {allows: () => true, recordSent: () => undefined, startWrite: () => true};

/** How hosts share the limit of a cold server. */
export interface ColdShare {
	/** Number of hosts that send to the server. */
	readonly hosts: number;
	/** Minimum time in milliseconds between two requests of one of them. */
	readonly intervalMs: number;
}

/** Maximum number of hosts that share a limit; with more of them, each would wait long for its next request. */
const maxSharingHosts = 5;
/** Minimum number of requests in a second of a host that shares a limit. */
const minPerHost = 2;
const msPerSecond = 1000;
/** Factor on the interval between two requests, for timers and links that let requests bunch slightly. */
const intervalMargin = 1.05;

/** Divides a limit of requests in any second among hosts; undefined when no request is allowed. */
export function coldShare(maxPerSecond: number, hostCount: number): ColdShare | undefined {
	const whole = Math.floor(maxPerSecond);
	if (whole < 1 || hostCount < 1) {
		return undefined;
	}

	const hosts = Math.min(maxSharingHosts, hostCount, Math.max(1, Math.floor(whole / minPerHost)));
	// Requests this far apart are at most as many in any second, its ends included.
	return {hosts, intervalMs: msPerSecond * intervalMargin / Math.floor(whole / hosts)};
}

type SentTimes = {sentAt: number; writtenAt: number};

/**
Shares the limits of cold servers among the entry hosts without messages: a few hosts are chosen for each server, those of
its zone first, and leave a minimum time between their requests. Each host derives the choice from the directory.

A host uses its share only after it has been in the directory for the duration of a lease: until then a host that it
replaces may not know of it.
*/
export class SharedColdServers implements ColdServers {
	private _hosts: readonly EntryHost[] = [];
	private _listedSince = Infinity;
	/** Whether this host is chosen for a server, by its id. */
	private readonly _isChosen = new Map<string, boolean>();
	private readonly _times = new WeakMap<ServerRecord, SentTimes>();

	constructor(
		private readonly _self: string,
		private readonly _clock: Clock,
		/** Returns the number of requests that a cold server of a service bears in any second; undefined without a limit. */
		private readonly _limitOf: (service: string) => number | undefined,
	) {}

	/** Replaces the entry hosts with those of the directory. `isListed` tells whether this process is among them. */
	update(hosts: Iterable<EntryHost>, isListed: boolean): void {
		this._hosts = [...hosts];
		this._isChosen.clear();
		if (!isListed) {
			this._listedSince = Infinity;
		} else if (this._listedSince === Infinity) {
			this._listedSince = this._clock.now();
		}
	}

	allows(record: ServerRecord, service: string): boolean {
		return this._allows(record, service, 'sentAt');
	}

	recordSent(record: ServerRecord): void {
		if (record.server.coldSince !== undefined) {
			this._timesOf(record).sentAt = this._clock.now();
		}
	}

	startWrite(record: ServerRecord, service: string): boolean {
		if (!this._allows(record, service, 'writtenAt')) {
			return false;
		}

		if (record.server.coldSince !== undefined) {
			this._timesOf(record).writtenAt = this._clock.now();
		}

		return true;
	}

	private _allows(record: ServerRecord, service: string, last: keyof SentTimes): boolean {
		if (record.server.coldSince === undefined) {
			return true;
		}

		const limit = this._limitOf(service);
		if (limit === undefined) {
			return true;
		}

		const now = this._clock.now();
		const share = coldShare(limit, this._hosts.length);
		return share !== undefined
			&& now - this._listedSince >= leaderLeaseMs
			&& now - this._timesOf(record)[last] >= share.intervalMs
			&& this._isChosenFor(record, share.hosts);
	}

	private _timesOf(record: ServerRecord): SentTimes {
		let times = this._times.get(record);
		if (!times) {
			times = {sentAt: -Infinity, writtenAt: -Infinity};
			this._times.set(record, times);
		}

		return times;
	}

	private _isChosenFor({server: {id, zone}}: ServerRecord, count: number): boolean {
		let isChosen = this._isChosen.get(id);
		if (isChosen === undefined) {
			isChosen = chooseHosts(this._hosts, id, zone, count).includes(this._self);
			this._isChosen.set(id, isChosen);
		}

		return isChosen;
	}
}

/** Returns the names of the hosts that share the limit of a server. */
function chooseHosts(hosts: readonly EntryHost[], server: string, zone: string, count: number): string[] {
	const seed = hashString(server);
	return hosts
		.map(entry => ({host: entry.host, isNear: entry.zone === zone, rank: hashString(entry.host, seed)}))
		.sort((left, right) => Number(right.isNear) - Number(left.isNear) || left.rank - right.rank)
		.slice(0, count)
		.map(({host}) => host);
}
