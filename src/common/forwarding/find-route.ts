import {type Refusal} from './caller-sink.js';
import {type ForwardRequest} from './forward-request.js';
import {type RouteTable} from './route-table.js';
import {type Customer, type Route} from './routing-config.js';

/** The route of a request and the customer who sent it. */
export interface FoundRoute {
	readonly route: Route;
	readonly customer: Customer | undefined;
}

/** Looks up the route and the customer of a request. @returns why a configuration does not allow it otherwise. */
export function findRoute(table: RouteTable, {hostname, path, key}: Pick<ForwardRequest, 'hostname' | 'path' | 'key'>): FoundRoute | Refusal {
	const route = table.route(hostname, path);
	if (!route) {
		return {status: 404, code: 'no-route', ran: 'no'};
	}

	const customer = key === undefined ? undefined : table.customer(key);
	return table.needsKeys && !route.isAnonymous && !customer ? {status: 401, code: 'unknown-key', ran: 'no'} : {route, customer};
}
