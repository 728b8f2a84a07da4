import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {findRoute} from './find-route.js';
import {mayRepeat} from './may-repeat.js';
import {quarantineOf} from './request-quarantine.js';
import {sessionOf} from './request-session.js';
import {type RouteTable} from './route-table.js';
import {type ServerRecord} from './server-pool.js';
import {mayRunRelease} from './servers-for-release.js';

/** Minimum time in milliseconds until the deadline of a request that is written to a server. */
const minWriteTimeMs = 1;

/** Checks again, immediately before a request is written, what was decided when it was admitted and its server was chosen. */
export class WriteCheck {
	/** Configuration that is known to allow the request. */
	private _allowedBy: RouteTable | undefined;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest, private readonly _deadlineAt: number) {}

	/** Whether the configuration in force allows the request as it was admitted: its route, the service, the kind of repetition and the customer. */
	get isAllowed(): boolean {
		const {table} = this._services.state();
		if (table === undefined || table === this._allowedBy) {
			return table !== undefined;
		}

		const {req, route, customer, service} = this._admitted;
		const found = findRoute(table, req);
		const isAllowed = 'route' in found
			&& found.customer?.name === customer?.name
			&& mayRepeat(found.route) === mayRepeat(route)
			&& found.route.services.some(({service: name, weight}) => name === service && weight > 0);
		this._allowedBy = isAllowed ? table : undefined;
		return isAllowed;
	}

	/** Whether the request could be sent again now, as far as it does not depend on the server. */
	get allowsRetry(): boolean {
		return this._services.lease.isValid() && this.isAllowed;
	}

	/** Whether the request may be written to a backend server now; called immediately before it is. */
	allowsServer(record: ServerRecord): boolean {
		const {pool, cold, counters} = this._services;
		const {service} = this._admitted;
		const isAllowed = this._allowsWrite(record) && pool.isOpen(service, record) && this._allowsRelease(record) && cold.startWrite(record, service);
		if (isAllowed && record.server.coldSince !== undefined) {
			counters.increment('forward.cold-requests', 1, {service});
		}

		return isAllowed;
	}

	/** Whether the request may be handed over to another entry host now. */
	allowsHost(record: ServerRecord): boolean {
		return this._allowsWrite(record) && this._services.peers.has(record);
	}

	private _allowsWrite(record: ServerRecord): boolean {
		const {lease, clock, state} = this._services;
		const now = clock.now();
		return lease.isValid()
			&& this._deadlineAt - now >= minWriteTimeMs
			&& record.accepts(now)
			&& this.isAllowed
			&& !quarantineOf(state(), this._services, this._admitted);
	}

	private _allowsRelease({server: {release}}: ServerRecord): boolean {
		const rollout = this._services.state().rollouts.get(this._admitted.service);
		return rollout === undefined || mayRunRelease(rollout, sessionOf(this._services, this._admitted), release);
	}
}
