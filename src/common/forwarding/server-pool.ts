import {backendKey, type BackendServer} from '../control/backend-server.js';
import {BackendHealth} from '../routing/backend-health.js';
import {RequestLimit} from './request-limit.js';

/** Backoff in milliseconds after a backend server refused a request without naming a time. */
const defaultBackoffMs = 150;

/** A process of a backend server, with the state that this host derives from its own requests. */
export class ServerRecord {
	readonly health = new BackendHealth();
	readonly limit: RequestLimit;
	/** Number of attempts of this host in flight. */
	inFlight = 0;
	/** Time until which the backend server counts as overloaded after it refused a request. */
	overloadedUntil = 0;

	constructor(public server: BackendServer) {
		this.limit = new RequestLimit(server.id);
	}

	get key(): string {
		return backendKey(this.server);
	}

	/** Records that the server refused a request because it is overloaded. */
	recordOverload(retryAfterSeconds: number | undefined, now: number): void {
		this.overloadedUntil = now + (retryAfterSeconds === undefined ? defaultBackoffMs : retryAfterSeconds * 1000);
	}
}

/** Backend servers of each service, with their records. */
export class ServerPool {
	private readonly _records = new Map<string, ServerRecord>();
	private readonly _byService = new Map<string, ServerRecord[]>();

	/** Replaces the backend servers with those of the directory; drops the records of processes that are no longer listed. */
	update(servers: Iterable<BackendServer>): void {
		this._byService.clear();
		const seen = new Set<string>();
		for (const server of servers) {
			const key = backendKey(server);
			seen.add(key);
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
			if (!seen.has(key)) {
				this._records.delete(key);
			}
		}
	}

	/** Returns the backend servers of a service that are not draining, whatever their health. */
	notDraining(service: string): ServerRecord[] {
		return (this._byService.get(service) ?? []).filter(({server}) => !server.isDraining);
	}
}
