import {type BackendServer} from './backend-server.js';
import {
	type BackendRemoved, type BackendJoined, type ColdServer, type EntryJoined, type EntryLeft,
} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type EntryHost} from './entry-host.js';
import {Tombstones, type Tombstone} from './tombstones.js';

/** Snapshot of the directory. */
export interface DirectorySnapshot {
	readonly entryHosts: ReadonlyArray<[string, EntryHost]>;
	readonly backendServers: ReadonlyArray<[string, BackendServer]>;
	readonly entryTombstones: ReadonlyArray<[string, Tombstone]>;
	readonly backendTombstones: ReadonlyArray<[string, Tombstone]>;
}

/** Entry hosts and backend servers, part of the control state. */
export class DirectoryState {
	readonly entryHosts = new Map<string, EntryHost>();
	readonly backendServers = new Map<string, BackendServer>();
	private readonly _entryTombstones = new Tombstones();
	private readonly _backendTombstones = new Tombstones();

	/** Highest incarnation of an entry host that has expired. */
	expiredEntryIncarnation(host: string): number | undefined {
		return this._entryTombstones.incarnation(host);
	}

	/** Highest incarnation of a backend server that has left or expired. */
	removedBackendIncarnation(id: string): number | undefined {
		return this._backendTombstones.incarnation(id);
	}

	joinEntry(index: number, {entry}: EntryJoined): ControlResult {
		const current = this.entryHosts.get(entry.host);
		if ((this.expiredEntryIncarnation(entry.host) ?? -1) >= entry.incarnation) {
			return {status: 'ignored', reason: 'this incarnation of the entry host has expired'};
		}

		if (current && current.incarnation > entry.incarnation) {
			return {status: 'ignored', reason: 'a later incarnation of the entry host is known'};
		}

		// A resent join must not cancel a drain of the same process.
		const leaving = entry.leaving || (current?.incarnation === entry.incarnation && current.leaving);
		this.entryHosts.set(entry.host, {...entry, leaving});
		return {status: 'accepted', revision: index};
	}

	leaveEntry(index: number, {type, host, incarnation, at}: EntryLeft): ControlResult {
		if (type === 'entry-expired') {
			this._entryTombstones.add(host, incarnation, at);
		}

		const current = this.entryHosts.get(host);
		if (current?.incarnation !== incarnation) {
			return {status: 'ignored', reason: 'this incarnation of the entry host is not known'};
		}

		if (type === 'entry-leaving') {
			this.entryHosts.set(host, {...current, leaving: true});
		} else {
			this.entryHosts.delete(host);
		}

		return {status: 'accepted', revision: index};
	}

	joinBackend(index: number, {server, at}: BackendJoined): ControlResult {
		this._backendTombstones.removeExpired(at);
		const current = this.backendServers.get(server.id);
		if ((this.removedBackendIncarnation(server.id) ?? -1) >= server.incarnation) {
			return {status: 'ignored', reason: 'this incarnation of the backend server has left'};
		}

		if (current && current.incarnation > server.incarnation) {
			return {status: 'ignored', reason: 'a later incarnation of the backend server is known'};
		}

		const others = [...this.backendServers.values()].filter(({id, address}) => address === server.address && id !== server.id);
		if (others.some(other => other.incarnation > server.incarnation)) {
			return {status: 'ignored', reason: 'a later backend server has the address'};
		}

		// A resent announcement must not cancel a drain. A process replaces all earlier ones at its address.
		const isDraining = server.isDraining ?? (current?.incarnation === server.incarnation && current.isDraining);
		for (const other of others) {
			this.backendServers.delete(other.id);
			this._backendTombstones.add(other.id, other.incarnation, at);
		}

		const {coldSince, coldMs} = coldMarkAfter(index, server, current);
		this.backendServers.set(server.id, {
			...server, ...(isDraining && {isDraining}), ...(coldSince !== undefined && {coldSince, coldMs}),
		});
		return {status: 'accepted', revision: index};
	}

	/** Marks the backend servers of a zone as cold. */
	markCold(index: number, zone: string): void {
		for (const [id, {coldMs: _, ...server}] of this.backendServers) {
			if (server.zone === zone) {
				this.backendServers.set(id, {...server, coldSince: index});
			}
		}
	}

	/** Takes back marks of cold backend servers, unless they were marked again. */
	markWarm(index: number, servers: readonly ColdServer[]): ControlResult {
		for (const {id, incarnation, coldSince} of servers) {
			const current = this.backendServers.get(id);
			if (current?.incarnation === incarnation && current.coldSince === coldSince) {
				const {coldSince: _, coldMs: __, ...server} = current;
				this.backendServers.set(id, server);
			}
		}

		return {status: 'accepted', revision: index};
	}

	removeBackend(index: number, {type, id, incarnation, at}: BackendRemoved): ControlResult {
		if (type !== 'backend-silent') {
			this._backendTombstones.add(id, incarnation, at);
		}

		const current = this.backendServers.get(id);
		if (!current || current.incarnation > incarnation) {
			return {status: 'ignored', reason: 'this incarnation of the backend server is not known'};
		}

		this.backendServers.delete(id);
		return {status: 'accepted', revision: index};
	}

	snapshot(): DirectorySnapshot {
		return {
			entryHosts: [...this.entryHosts],
			backendServers: [...this.backendServers],
			entryTombstones: this._entryTombstones.snapshot(),
			backendTombstones: this._backendTombstones.snapshot(),
		};
	}

	restore(snapshot: DirectorySnapshot): void {
		this.entryHosts.clear();
		for (const [host, entry] of snapshot.entryHosts) {
			this.entryHosts.set(host, entry);
		}

		this.backendServers.clear();
		for (const [id, server] of snapshot.backendServers) {
			this.backendServers.set(id, server);
		}

		this._entryTombstones.restore(snapshot.entryTombstones);
		this._backendTombstones.restore(snapshot.backendTombstones);
	}
}

/** Returns the mark of a backend server after its announcement. One that does not say that it is cold keeps its mark: it may have been sent before the process turned cold. */
function coldMarkAfter(index: number, server: BackendServer, current: BackendServer | undefined): Pick<BackendServer, 'coldSince' | 'coldMs'> {
	if (server.coldMs !== undefined) {
		return {coldSince: index, coldMs: server.coldMs};
	}

	return current?.incarnation === server.incarnation ? current : {};
}
