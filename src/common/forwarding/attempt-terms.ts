import {type AttemptTerms} from './forward-request.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {type ServerRecord} from './server-pool.js';

/** Share of a backend server's connections that all hosts together use; the rest is left for health checks and joining hosts. */
const connectionShare = 0.8;

/**
Priority offset of attempts with a larger model. An attempt with the smallest model takes a tenth of the time, so it has
precedence whatever the priority of its route; most routes use the priorities 0 to 2.
*/
const escalationPriorityOffset = 3;

/** The terms that differ between the attempts of one request. */
export interface AttemptState extends Pick<AttemptTerms, 'remainingMs' | 'model' | 'resumeAfter'> {
	/** Whether the attempt asks a larger model after a smaller one. */
	readonly isEscalated: boolean;
}

/** Returns the fields that the router adds to a request for one attempt. */
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
		priority: req.generation && priorityOf(admitted, isEscalated),
		resumeAfter,
		repetition: route.repetition,
	};
}

/** Priority of a request, or of its attempt with a larger model; 0 is the most urgent. */
export function priorityOf({customer, route}: AdmittedRequest, isEscalated: boolean): number {
	return (customer?.priority ?? route.priority) + (isEscalated ? escalationPriorityOffset : 0);
}

/** Connection limit of this host to one backend server of a service: its share of the connections that the server accepts. */
export function maxConnectionsOf({state}: Pick<ForwardServices, 'state'>, service: string): number {
	const {table, hostCount} = state();
	const connections = table?.services.get(service)?.maxConnections ?? 1;
	return Math.max(1, Math.floor(connections * connectionShare / Math.max(1, hostCount)));
}
