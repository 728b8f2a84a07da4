import {
	type Customer, type Route, type RoutedService, type RoutingConfig,
} from './routing-config.js';

/** Looks up routes, services and customers in one routing configuration. */
export class RouteTable {
	readonly services: ReadonlyMap<string, RoutedService>;
	private readonly _routes = new Map<string, Route[]>();
	private readonly _customers = new Map<string, Customer>();

	constructor(readonly cfg: RoutingConfig) {
		this.services = new Map(cfg.services.map(service => [service.name, service]));
		for (const route of cfg.routes) {
			const hostname = route.hostname.toLowerCase();
			const routes = this._routes.get(hostname);
			if (routes) {
				routes.push(route);
			} else {
				this._routes.set(hostname, [route]);
			}
		}

		for (const routes of this._routes.values()) {
			routes.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
		}

		for (const customer of cfg.customers ?? []) {
			for (const key of customer.keys) {
				this._customers.set(key, customer);
			}
		}
	}

	/** Whether requests need a key, unless their route is anonymous. */
	get needsKeys(): boolean {
		return this.cfg.customers !== undefined;
	}

	/** Returns the route with the longest matching path prefix; undefined when none matches. */
	route(hostname: string, path: string): Route | undefined {
		return this._routes.get(hostname.toLowerCase())?.find(route => path.startsWith(route.pathPrefix));
	}

	/** Returns the customer that owns a key. */
	customer(key: string): Customer | undefined {
		return this._customers.get(key);
	}
}
