import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {type BackendLoad} from './backend-load.js';
import {type BackendRef} from './backend-observation.js';
import {type BackendServer} from './backend-server.js';
import {type ConfigLease} from './config-lease.js';
import {type ControlCommand} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {backendSilentMs} from './control-times.js';
import {type ControlView} from './control-view.js';
import {type AgedLoad} from './load-tuple.js';
import {PeriodicSweep} from './periodic-sweep.js';

/** Part of the control follower that a registrar uses. */
export interface RegistrarFollower {
	readonly view: Pick<ControlView, 'backendServers'>;
	readonly lease: ConfigLease;
	removedBackendIncarnation(id: string): number | undefined;
	propose(command: ControlCommand): Promise<ControlResult>;
}

/** Answer to an announcement. */
export type AnnounceResult =
	| {readonly status: 'accepted'}
	/** `incarnation-gone`: the process must announce a higher incarnation; `home-without-lease`: it must announce itself to another host. */
	| {readonly status: 'refused'; readonly code: 'incarnation-gone' | 'home-without-lease'};

type Registration = {server: BackendServer; load: BackendLoad; announcedAt: number};

/** Time in milliseconds without an announcement after which a registration is deleted; by then the backend server has expired or has another home host. */
const registrationTimeoutMs = 30_000;

/**
Registers the backend servers that announce themselves to this entry host, which is their home host. Proposes joins and
leaves to the leader; announcements without a change stay local.
*/
export class BackendRegistrar implements Disposable {
	private readonly _registrations = new Map<string, Registration>();
	private readonly _pendingJoins = new Map<string, Promise<ControlResult>>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _follower: RegistrarFollower, private readonly _clock: Clock) {
		this._sweep = new PeriodicSweep(_clock, 1000, () => {
			this._removeStale();
		});
	}

	/**
	Handles an announcement, which a backend server repeats every second.

	@throws ControlUnavailableError when the leader could not be reached; the next announcement retries.
	*/
	async announce(server: BackendServer, load: BackendLoad): Promise<AnnounceResult> {
		// A host without contact to the leader cannot report the backend server, which would then expire.
		if (!this._follower.lease.isValid()) {
			return {status: 'refused', code: 'home-without-lease'};
		}

		const {id, incarnation} = server;
		const registration = this._registrations.get(id);
		if (this._isStale(server) || (registration && registration.server.incarnation > incarnation)) {
			return {status: 'refused', code: 'incarnation-gone'};
		}

		this._registrations.set(id, {server, load, announcedAt: this._clock.now()});
		const known = this._follower.view.backendServers.get(id);
		if (known && isSameAnnouncement(known, server)) {
			return {status: 'accepted'};
		}

		const result = await this._join(server);
		if (result.status === 'accepted') {
			return {status: 'accepted'};
		}

		this._remove(server);
		return {status: 'refused', code: 'incarnation-gone'};
	}

	/**
	Handles a leave. Resolves when it is committed.

	@throws ControlUnavailableError when the outcome is unknown; a retry is safe.
	*/
	async leave({id, incarnation}: BackendRef): Promise<ControlResult> {
		this._remove({id, incarnation});
		return this._follower.propose({
			type: 'backend-left', id, incarnation, at: this._clock.wallTime(),
		});
	}

	/** Loads of the backend servers registered here, for the next renewal. */
	loads(): AgedLoad[] {
		const now = this._clock.now();
		return [...this._registrations.values()]
			.filter(({announcedAt}) => now - announcedAt < backendSilentMs)
			.map(({server: {id, incarnation}, load, announcedAt}) => ({
				...load, id, incarnation, ageMs: now - announcedAt,
			}));
	}

	/** Backend servers registered here that have stopped announcing themselves but are still in the directory. */
	silentServers(): BackendRef[] {
		const now = this._clock.now();
		return [...this._registrations.values()]
			.filter(({server, announcedAt}) => now - announcedAt >= backendSilentMs
				&& this._follower.view.backendServers.get(server.id)?.incarnation === server.incarnation)
			.map(({server: {id, incarnation}}) => ({id, incarnation}));
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private async _join(server: BackendServer): Promise<ControlResult> {
		// Announcements that arrive while a join is in flight wait for it; the next announcement proposes their changes.
		let pendingJoin = this._pendingJoins.get(server.id);
		if (!pendingJoin) {
			pendingJoin = this._propose(server);
			this._pendingJoins.set(server.id, pendingJoin);
		}

		return pendingJoin;
	}

	private async _propose(server: BackendServer): Promise<ControlResult> {
		try {
			return await this._follower.propose({type: 'backend-joined', server, at: this._clock.wallTime()});
		} finally {
			this._pendingJoins.delete(server.id);
		}
	}

	private _isStale({id, incarnation}: BackendRef): boolean {
		return (this._follower.removedBackendIncarnation(id) ?? -1) >= incarnation
			|| (this._follower.view.backendServers.get(id)?.incarnation ?? -1) > incarnation;
	}

	private _remove({id, incarnation}: BackendRef): void {
		if (this._registrations.get(id)?.server.incarnation === incarnation) {
			this._registrations.delete(id);
		}
	}

	private _removeStale(): void {
		const now = this._clock.now();
		for (const {server, announcedAt} of this._registrations.values()) {
			if (now - announcedAt > registrationTimeoutMs || this._isStale(server)) {
				this._remove(server);
			}
		}
	}
}

/** Whether two announcements of a process have the same content. */
export function isSameAnnouncement(a: BackendServer, b: BackendServer): boolean {
	return a === b || canonical(a) === canonical(b);
}

/** Serializes the fields in a fixed order, because their order in an announcement depends on the sender. */
function canonical(server: BackendServer): string {
	const {id, incarnation, address, zone, kind, offers, services, checksFencing, checksSender, capacity, canResume = false, acceptsOrders = false, release, isDraining = false} = server;
	return JSON.stringify([
		id, incarnation, address, zone, kind, offers.map(({ref, inputCost, outputCost}) => [ref, inputCost, outputCost]), services, checksFencing, checksSender, capacity, canResume, acceptsOrders, release, isDraining,
	]);
}
