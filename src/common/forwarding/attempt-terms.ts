import {type AttemptTerms} from './forward-request.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {type ServerRecord} from './server-pool.js';

/** Share of the connections of a backend server that all hosts together use; the rest is for health checks and hosts that join. */
const connectionShare = 0.8;

/**
Ranks by which a run of a larger model follows those of smaller ones. A run of the smallest model takes a tenth of the time,
so that it may go first whatever the rank of its route; most routes use the ranks 0 to 2.
*/
const escalatedRanks = 3;

/** What differs between the attempts of a request. */
export interface AttemptState extends Pick<AttemptTerms, 'remainingMs' | 'model' | 'resumeAfter'> {
	/** Whether a larger model is asked after a smaller one. */
	readonly isEscalated: boolean;
}

/** What the router adds to a request for one attempt. */
export function attemptTerms(services: ForwardServices, admitted: AdmittedRequest, {server}: ServerRecord, {remainingMs, model, resumeAfter, isEscalated}: AttemptState): AttemptTerms {
	const {req, route, customer, service} = admitted;
	return {
		requestId: req.id,
		serverId: server.id,
		address: server.address,
		maxConnections: maxConnectionsOf(services, service),
		remainingMs: Math.max(1, Math.floor(remainingMs)),
		customer: customer?.name,
		model: model ?? req.generation?.model,
		priority: req.generation && (customer?.priority ?? route.priority) + (isEscalated ? escalatedRanks : 0),
		resumeAfter,
		repetition: route.repetition,
	};
}

/** Connections of this host to one backend server of a service: its share of what the backend server accepts. */
function maxConnectionsOf({state}: ForwardServices, service: string): number {
	const {table, hostCount} = state();
	const connections = table?.services.get(service)?.maxConnections ?? 1;
	return Math.max(1, Math.floor(connections * connectionShare / Math.max(1, hostCount)));
}
