import {backendKey, type BackendServer} from '../control/backend-server.js';
import {BackendHealth} from '../routing/backend-health.js';
import {DecayedSum} from './decayed-sum.js';
import {RefusalLimit} from './refusal-limit.js';
import {type LimitShare, RequestLimit} from './request-limit.js';

/** Backoff in milliseconds after a backend server refused a request without naming a time. */
const defaultBackoffMs = 150;
/** Longest pause in milliseconds that a server may ask for; a longer one is taken for a mistake. */
const maxPauseMs = 600_000;
/** Time in milliseconds for which the record of a process is kept after it has left the directory, because it may be listed again. */
const unlistedRetentionMs = 600_000;
/** Maximum number of records of processes that are not listed. */
const maxUnlisted = 2000;
const msPerSecond = 1000;
/** Time in milliseconds after which work that was sent to a server counts half. */
const workHalfLifeMs = 10_000;

/** A process of a backend server, with the state that this host derives from its own requests. */
export class ServerRecord {
	readonly health = new BackendHealth();
	readonly limit: RequestLimit;
	readonly refusalLimit: RefusalLimit;
	/** Work that this host has recently sent to the process, in the unit of a prompt token. */
	readonly recentWork = new DecayedSum(workHalfLifeMs);
	/** Number of attempts of this host in flight. */
	inFlight = 0;
	/** Time until which the backend server counts as overloaded after it refused a request. */
	overloadedUntil = 0;
	private _pausedUntil = -Infinity;
	private _isLeaving = false;

	constructor(public server: BackendServer) {
		this.limit = new RequestLimit(server.id);
		this.refusalLimit = new RefusalLimit(server.id);
	}

	get key(): string {
		return backendKey(this.server);
	}

	/** Whether the process has stated that it is leaving. */
	get isLeaving(): boolean {
		return this._isLeaving;
	}

	/** Whether this host may send requests to the process: it is not leaving and has not asked for a pause. */
	accepts(now: number): boolean {
		return !this._isLeaving && this._pausedUntil <= now;
	}

	/** Time in milliseconds until the end of the pause that the server asked for; 0 without a pause. */
	pauseLeftMs(now: number): number {
		return Math.max(0, this._pausedUntil - now);
	}

	/** Whether the limits that the server has named allow another request of this host. */
	allows(share: LimitShare, now: number): boolean {
		return this.limit.allows(share) && this.refusalLimit.allows(share, this.inFlight, this.server.capacity, now);
	}

	/** Records that a request is about to be sent. */
	recordSent(share: LimitShare, now: number): void {
		this.limit.recordSent(share);
		this.refusalLimit.recordSent(share, this.inFlight, this.server.capacity, now);
	}

	/** Records that the server refused a request because it is overloaded. */
	recordOverload(now: number): void {
		this.refusalLimit.recordRefused(Math.max(0, this.inFlight - 1), now);
		this.overloadedUntil = now + defaultBackoffMs;
	}

	/** Records that the server takes no requests of this host for a time. @returns whether this extends the pause. */
	recordPause(seconds: number, now: number): boolean {
		const until = now + Math.min(maxPauseMs, seconds * msPerSecond);
		const isLonger = until > this._pausedUntil;
		this._pausedUntil = Math.max(this._pausedUntil, until);
		return isLonger;
	}

	/** Records that the process is leaving, which it never takes back. @returns whether this is new. */
	recordLeaving(): boolean {
		const isNew = !this._isLeaving;
		this._isLeaving = true;
		return isNew;
	}
}

/** Backend servers of each service, with their records. */
export class ServerPool {
	private readonly _records = new Map<string, ServerRecord>();
	private readonly _byService = new Map<string, ServerRecord[]>();
	/** Times at which processes with a record left the directory, by key, oldest first. */
	private readonly _unlistedAt = new Map<string, number>();
	private _evacuatedZones: ReadonlySet<string> = new Set();

	/** Replaces the backend servers with those of the directory. Records of processes that are no longer listed are kept for a time. */
	update(servers: Iterable<BackendServer>, now: number, evacuatedZones: ReadonlySet<string> = new Set()): void {
		this._evacuatedZones = evacuatedZones;
		this._byService.clear();
		const seen = new Set<string>();
		for (const server of servers) {
			const key = backendKey(server);
			seen.add(key);
			this._unlistedAt.delete(key);
			let record = this._records.get(key);
			if (record) {
				record.server = server;
			} else {
				record = new ServerRecord(server);
				this._records.set(key, record);
			}

			for (const service of server.services) {
				const list = this._byService.get(service);
				if (list) {
					list.push(record);
				} else {
					this._byService.set(service, [record]);
				}
			}
		}

		for (const key of this._records.keys()) {
			if (!seen.has(key) && !this._unlistedAt.has(key)) {
				this._unlistedAt.set(key, now);
			}
		}

		this._dropUnlisted(now);
	}

	/** Returns the backend servers of a service that are neither draining nor leaving, also those in evacuated zones. */
	notDraining(service: string): ServerRecord[] {
		return (this._byService.get(service) ?? []).filter(({server, isLeaving}) => !server.isDraining && !isLeaving);
	}

	/** Returns the backend servers of a service that are neither draining nor leaving nor in an evacuated zone, whatever their health. */
	openServers(service: string): ServerRecord[] {
		return this.notDraining(service).filter(record => !this._isEvacuated(record));
	}

	/** Whether all backend servers of a service that are neither draining nor leaving are in evacuated zones. */
	isEvacuated(service: string): boolean {
		const servers = this.notDraining(service);
		return servers.length > 0 && servers.every(record => this._isEvacuated(record));
	}

	/** Whether a process may get new requests for a service: it is listed, in a zone that is not evacuated, and neither draining nor leaving. */
	isOpen(service: string, record: ServerRecord): boolean {
		const {server, key, isLeaving} = record;
		return this._records.get(key) === record && !this._unlistedAt.has(key) && server.services.includes(service) && !server.isDraining && !isLeaving && !this._isEvacuated(record);
	}

	private _isEvacuated({server}: ServerRecord): boolean {
		return this._evacuatedZones.has(server.zone);
	}

	private _dropUnlisted(now: number): void {
		for (const [key, since] of this._unlistedAt) {
			if (now - since < unlistedRetentionMs && this._unlistedAt.size <= maxUnlisted) {
				return;
			}

			this._unlistedAt.delete(key);
			this._records.delete(key);
		}
	}
}
