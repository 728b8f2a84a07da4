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

/** What a registrar needs of the follower of its daemon. */
export interface RegistrarControl {
	readonly view: Pick<ControlView, 'backendServers'>;
	readonly lease: ConfigLease;
	goneBackend(id: string): number | undefined;
	propose(command: ControlCommand): Promise<ControlResult>;
}

/** Answer to an announcement. */
export type AnnounceResult =
	| {readonly status: 'accepted'}
	/** `incarnation-gone`: the process must announce a higher incarnation; `home-without-lease`: it must find another home. */
	| {readonly status: 'refused'; readonly code: 'incarnation-gone' | 'home-without-lease'};

type Guest = {server: BackendServer; load: BackendLoad; announcedAt: number};

/** Time in milliseconds after which a silent backend server is forgotten; it has expired by then or has another home. */
const forgetMs = 30_000;

/**
Home of backend servers at an entry host. Passes joins and leaves to the leader when something changed and keeps the
announcements themselves local.
*/
export class BackendRegistrar implements Disposable {
	private readonly _guests = new Map<string, Guest>();
	private readonly _joining = new Map<string, Promise<ControlResult>>();
	private readonly _sweep: PeriodicSweep;

	constructor(private readonly _control: RegistrarControl, private readonly _clock: Clock) {
		this._sweep = new PeriodicSweep(_clock, 1000, () => {
			this._forget();
		});
	}

	/**
	Takes an announcement, which a backend server repeats every second.

	@throws ControlUnavailableError when the leader could not be reached; the next announcement tries again.
	*/
	async announce(server: BackendServer, load: BackendLoad): Promise<AnnounceResult> {
		// A home without contact to the leader would let the backend server expire unseen.
		if (!this._control.lease.isValid()) {
			return {status: 'refused', code: 'home-without-lease'};
		}

		const {id, incarnation} = server;
		const guest = this._guests.get(id);
		if (this._isStale(server) || (guest && guest.server.incarnation > incarnation)) {
			return {status: 'refused', code: 'incarnation-gone'};
		}

		this._guests.set(id, {server, load, announcedAt: this._clock.now()});
		const known = this._control.view.backendServers.get(id);
		if (known && isSameServer(known, server)) {
			return {status: 'accepted'};
		}

		const result = await this._join(server);
		if (result.status === 'accepted') {
			return {status: 'accepted'};
		}

		this._drop(server);
		return {status: 'refused', code: 'incarnation-gone'};
	}

	/**
	Takes a leave. Resolves when it is committed.

	@throws ControlUnavailableError when the outcome is unknown; a repetition is safe.
	*/
	async leave({id, incarnation}: BackendRef): Promise<ControlResult> {
		this._drop({id, incarnation});
		return this._control.propose({
			type: 'backend-left', id, incarnation, at: this._clock.wallTime(),
		});
	}

	/** Loads of the backend servers that announce themselves here, for the next renewal. */
	loads(): AgedLoad[] {
		const now = this._clock.now();
		return [...this._guests.values()]
			.filter(({announcedAt}) => now - announcedAt < backendSilentMs)
			.map(({server: {id, incarnation}, load, announcedAt}) => ({
				...load, id, incarnation, ageMs: now - announcedAt,
			}));
	}

	/** Backend servers of the directory that have stopped to announce themselves here. */
	silent(): BackendRef[] {
		const now = this._clock.now();
		return [...this._guests.values()]
			.filter(({server, announcedAt}) => now - announcedAt >= backendSilentMs
				&& this._control.view.backendServers.get(server.id)?.incarnation === server.incarnation)
			.map(({server: {id, incarnation}}) => ({id, incarnation}));
	}

	dispose(): void {
		this._sweep.dispose();
	}

	private async _join(server: BackendServer): Promise<ControlResult> {
		// Announcements that arrive while the join is under way wait for it; a change is seen by the next announcement.
		let joining = this._joining.get(server.id);
		if (!joining) {
			joining = this._propose(server);
			this._joining.set(server.id, joining);
		}

		return joining;
	}

	private async _propose(server: BackendServer): Promise<ControlResult> {
		try {
			return await this._control.propose({type: 'backend-joined', server, at: this._clock.wallTime()});
		} finally {
			this._joining.delete(server.id);
		}
	}

	private _isStale({id, incarnation}: BackendRef): boolean {
		return (this._control.goneBackend(id) ?? -1) >= incarnation
			|| (this._control.view.backendServers.get(id)?.incarnation ?? -1) > incarnation;
	}

	private _drop({id, incarnation}: BackendRef): void {
		if (this._guests.get(id)?.server.incarnation === incarnation) {
			this._guests.delete(id);
		}
	}

	private _forget(): void {
		const now = this._clock.now();
		for (const {server, announcedAt} of this._guests.values()) {
			if (now - announcedAt > forgetMs || this._isStale(server)) {
				this._drop(server);
			}
		}
	}
}

/** Whether two announcements of a process say the same. */
export function isSameServer(a: BackendServer, b: BackendServer): boolean {
	return a === b || canonical(a) === canonical(b);
}

/** The fields in a fixed order, because the order of an announcement is that of its sender. */
function canonical(server: BackendServer): string {
	const {id, incarnation, address, zone, kind, offers, services, checksFencing, checksSender, capacity, canResume = false, acceptsOrders = false, release, isDraining = false} = server;
	return JSON.stringify([
		id, incarnation, address, zone, kind, offers.map(({ref, inputCost, outputCost}) => [ref, inputCost, outputCost]), services, checksFencing, checksSender, capacity, canResume, acceptsOrders, release, isDraining,
	]);
}
