import {hashString} from '../base/hash-string.js';
import {type BackendServer} from '../control/backend-server.js';
import {type EntryHost} from '../control/entry-host.js';

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
/** Factor on times between requests, for clocks that differ by 1 % and for links that let requests bunch slightly. */
const intervalMargin = 1.05;
/** Time in milliseconds for which a host keeps to a smaller share that it had before: in the last second, others may have used the rest. */
export const shareHoldMs = msPerSecond * intervalMargin;

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

/** Entry hosts of the directory, with the intervals that follow from them. */
type HostList = {
	readonly zones: ReadonlyMap<string, string>;
	replacedAt: number;
	readonly intervals: Map<string, number>;
};

/** The share of this host in the limits of cold servers, by the entry hosts that the directory lists and listed in the last second. */
export class ColdShareHistory {
	/** The current list is the last one. */
	private _lists: HostList[] = [{zones: new Map(), replacedAt: Infinity, intervals: new Map()}];

	constructor(private readonly _self: string) {}

	/** Replaces the entry hosts. */
	update(hosts: Iterable<EntryHost>, now: number): void {
		const zones = new Map([...hosts].map(({host, zone}) => [host, zone]));
		const current = this._lists.at(-1)!;
		if (zones.size === current.zones.size && [...zones].every(([host, zone]) => current.zones.get(host) === zone)) {
			return;
		}

		current.replacedAt = now;
		this._lists = [...this._lists.filter(list => isHeld(list, now)), {zones, replacedAt: Infinity, intervals: new Map()}];
	}

	/** Returns the time in milliseconds between two requests of this host to a cold server; Infinity when it has no share. */
	intervalMs(server: Pick<BackendServer, 'id' | 'zone'>, limit: number, now: number): number {
		let longest = 0;
		for (const list of this._lists) {
			if (isHeld(list, now)) {
				longest = Math.max(longest, this._intervalIn(list, server, limit));
			}
		}

		return longest;
	}

	private _intervalIn({zones, intervals}: HostList, {id, zone}: Pick<BackendServer, 'id' | 'zone'>, limit: number): number {
		const key = `${id} ${zone} ${limit}`;
		let interval = intervals.get(key);
		if (interval === undefined) {
			const share = coldShare(limit, zones.size);
			interval = share && isAmongFirst(share.hosts, this._self, zones, {id, zone}) ? share.intervalMs : Infinity;
			intervals.set(key, interval);
		}

		return interval;
	}
}

function isHeld({replacedAt}: HostList, now: number): boolean {
	return replacedAt + shareHoldMs > now;
}

/** Whether a host is one of the first in the order for a server: hosts of the server's zone come first, each zone in the order of rendezvous hashing. */
function isAmongFirst(count: number, self: string, zones: ReadonlyMap<string, string>, {id, zone}: Pick<BackendServer, 'id' | 'zone'>): boolean {
	if (!zones.has(self)) {
		return false;
	}

	const seed = hashString(id);
	const isNear = zones.get(self) === zone;
	const own = hashString(self, seed);
	let before = 0;
	for (const [host, hostZone] of zones) {
		// A new list of hosts is searched for each cold server: zones are compared before hashes are computed, and the search ends with the last share.
		if ((hostZone === zone) === isNear) {
			const rank = hashString(host, seed);
			before += Number(rank < own || (rank === own && host < self));
		} else if (!isNear) {
			before++;
		}

		if (before >= count) {
			return false;
		}
	}

	return true;
}
