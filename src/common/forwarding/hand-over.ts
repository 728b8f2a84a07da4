import {type AdmittedRequest} from './forwarder.js';
import {type AttemptTerms} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {type ServerRecord} from './server-pool.js';

/** Number of unreached servers after which a request is handed over although the host may reach others. */
const maxUnreached = 3;
/** Maximum number of hosts that a request is offered to. */
const maxHosts = 8;
/** Maximum number of connections of this host to another one for requests handed over. */
const maxConnections = 64;

/** Hands one request over to another entry host when this host does not reach the servers. A request is handed over once. */
export class HandOver {
	private readonly _offered = new Set<string>();
	private _unreached = 0;

	constructor(private readonly _services: ForwardServices, private readonly _admitted: AdmittedRequest) {}

	/** Whether this host has lost its links to all servers of the service. */
	get isLost(): boolean {
		return this._services.reach.isLost(this._admitted.service);
	}

	/** Records that a server could not be reached, so that nothing was sent. */
	recordUnreached(): void {
		this._unreached++;
	}

	/** Returns the host to hand the request over to; undefined when it is not due, or when no host is left. `hasServer` tells whether a server can take it otherwise, now or later. */
	next(hasServer: boolean): ServerRecord | undefined {
		const {peers, clock, random} = this._services;
		const isDue = this.isLost || this._unreached >= maxUnreached || (!hasServer && this._unreached > 0);
		if (!isDue || this._admitted.req.attemptsLeft !== undefined || this._offered.size >= maxHosts) {
			return undefined;
		}

		const host = peers.choose(this._offered, clock.now(), random);
		if (host) {
			this._offered.add(host.key);
		}

		return host;
	}

	/** Returns the fields that go with the request to another host. */
	terms({server}: ServerRecord, {remainingMs, model, resumeAfter, attemptsLeft}: Pick<AttemptTerms, 'remainingMs' | 'model' | 'resumeAfter'> & {readonly attemptsLeft: number}): AttemptTerms {
		const {req, route} = this._admitted;
		return {
			requestId: req.id,
			serverId: server.id,
			address: server.address,
			maxConnections,
			remainingMs: Math.max(1, Math.floor(remainingMs)),
			customer: undefined,
			model: model ?? req.generation?.model,
			priority: undefined,
			resumeAfter,
			repetition: route.repetition,
			handOver: {key: req.key, attemptsLeft},
		};
	}
}
