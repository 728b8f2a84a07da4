import {type Clock} from '../base/clock.js';
import {leaderLeaseMs} from '../control/control-times.js';
import {type EntryHost} from '../control/entry-host.js';
import {ColdShareHistory, shareHoldMs} from './cold-share-history.js';
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
	/** Returns the time in milliseconds after which this host may send a request of a service to a server: 0 if at once, Infinity if that is not foreseeable. */
	waitMs(record: ServerRecord, service: string): number;
	/** Records that a request is to be sent to a server. */
	recordSent(record: ServerRecord): void;
	/** Whether a request may be written to a server now; records that it is. */
	startWrite(record: ServerRecord, service: string): boolean;
}

/** Limits nothing. */
export const unlimitedColdServers: ColdServers = {waitMs: () => 0, recordSent: () => undefined, startWrite: () => true};

/** Time in milliseconds for which a host must be in the directory before it uses its shares: until then, one that it replaces may not know of it, or may have just sent. */
const listedMs = leaderLeaseMs + shareHoldMs;

type SentTimes = {sentAt: number; writtenAt: number};

/**
Shares the limits of cold servers among the entry hosts without messages: a few hosts are chosen for each server, those of
its zone first, and leave a minimum time between their requests. Each host derives the choice from the directory.
*/
export class SharedColdServers implements ColdServers {
	private readonly _shares: ColdShareHistory;
	private _incarnation: number | undefined;
	private _listedSince = Infinity;
	private _leaseSince = -Infinity;
	private readonly _times = new WeakMap<ServerRecord, SentTimes>();

	constructor(
		self: string,
		private readonly _clock: Clock,
		/** Returns the number of requests that a cold server of a service bears in any second; undefined without a limit. */
		private readonly _limitOf: (service: string) => number | undefined,
	) {
		this._shares = new ColdShareHistory(self);
	}

	/**
	Replaces the entry hosts with those of the directory. `incarnation` is the one under which this process is listed, undefined
	while it is not. One that has expired and joined again is listed under a new one: meanwhile others have used its shares.
	*/
	update(hosts: Iterable<EntryHost>, incarnation: number | undefined): void {
		const now = this._clock.now();
		this._shares.update(hosts, now);
		if (incarnation !== this._incarnation) {
			this._incarnation = incarnation;
			this._listedSince = incarnation === undefined ? Infinity : now;
		}
	}

	/** Records that this host gained a lease after a time without one, in which changes of the directory may have cancelled each other out. */
	recordLeaseGained(): void {
		this._leaseSince = this._clock.now();
	}

	waitMs(record: ServerRecord, service: string): number {
		if (record.server.coldSince === undefined) {
			return 0;
		}

		const {sentAt, writtenAt} = this._timesOf(record);
		return this._waitMs(record, service, Math.max(sentAt, writtenAt));
	}

	recordSent(record: ServerRecord): void {
		// Also while it is warm: it may turn cold at the next moment.
		this._timesOf(record).sentAt = this._clock.now();
	}

	startWrite(record: ServerRecord, service: string): boolean {
		const times = this._timesOf(record);
		if (this._waitMs(record, service, times.writtenAt) > 0) {
			return false;
		}

		times.writtenAt = this._clock.now();
		return true;
	}

	private _waitMs({server}: ServerRecord, service: string, lastAt: number): number {
		const limit = server.coldSince === undefined ? undefined : this._limitOf(service);
		if (limit === undefined) {
			return 0;
		}

		const now = this._clock.now();
		const intervalMs = this._shares.intervalMs(server, limit, now);
		if (intervalMs === Infinity) {
			return Infinity;
		}

		return Math.max(0, Math.max(lastAt + intervalMs, this._listedSince + listedMs, this._leaseSince + shareHoldMs) - now);
	}

	private _timesOf(record: ServerRecord): SentTimes {
		let times = this._times.get(record);
		if (!times) {
			times = {sentAt: -Infinity, writtenAt: -Infinity};
			this._times.set(record, times);
		}

		return times;
	}
}
