import {RoutingConfigError} from './routing-error.js';
import {type Route, type RoutingConfig} from './routing-config.js';

/**
Checks the constraints that the types cannot express.

@throws RoutingConfigError with the first violation.
*/
export function checkRouting(cfg: RoutingConfig): RoutingConfig {
	const services = new Set(cfg.services.map(service => service.name));
	const matchers = new Set<string>();
	for (const route of cfg.routes) {
		checkRoute(route, services);
		const matcher = `${route.hostname.toLowerCase()} ${route.pathPrefix}`;
		if (matchers.has(matcher)) {
			throw new RoutingConfigError(`route ${route.name} has the host and prefix of another route`);
		}

		matchers.add(matcher);
	}

	checkKeys(cfg);
	return cfg;
}

function checkRoute({name, services, timeoutMs, pathPrefix}: Route, known: ReadonlySet<string>): void {
	const unknown = services.find(({service}) => !known.has(service));
	if (unknown) {
		throw new RoutingConfigError(`route ${name} names the unknown service ${unknown.service}`);
	}

	if (!(services.reduce((sum, {weight}) => sum + weight, 0) > 0)) {
		throw new RoutingConfigError(`the weights of route ${name} add up to 0`);
	}

	if (timeoutMs <= 0) {
		throw new RoutingConfigError(`the timeout of route ${name} is 0`);
	}

	if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
		throw new RoutingConfigError(`the path prefix of route ${name} does not begin and end with a slash`);
	}
}

function checkKeys({customers = []}: RoutingConfig): void {
	const owners = new Map<string, string>();
	for (const {name, keys} of customers) {
		for (const key of keys) {
			const owner = owners.get(key);
			if (owner !== undefined && owner !== name) {
				throw new RoutingConfigError(`customers ${owner} and ${name} share a key`);
			}

			owners.set(key, name);
		}
	}
}
