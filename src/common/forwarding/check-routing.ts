import {RoutingConfigError, type RoutingIssue} from './routing-error.js';
import {type Route, type RoutingConfig} from './routing-config.js';

/**
Checks the constraints that the types cannot express.

@throws RoutingConfigError with the first violation as its message, and all of them.
*/
export function checkRouting(cfg: RoutingConfig): RoutingConfig {
	const issues = [...routeIssues(cfg), ...keyIssues(cfg)];
	if (issues.length > 0) {
		throw new RoutingConfigError(issues[0]!.message, undefined, issues);
	}

	return cfg;
}

function * routeIssues(cfg: RoutingConfig): Generator<RoutingIssue> {
	const services = new Set(cfg.services.map(service => service.name));
	const matchers = new Set<string>();
	for (const [index, route] of cfg.routes.entries()) {
		yield * issuesOfRoute(route, ['routes', index], services);
		const matcher = `${route.hostname.toLowerCase()} ${route.pathPrefix}`;
		if (matchers.has(matcher)) {
			yield {path: ['routes', index], message: `route ${route.name} has the host and prefix of another route`};
		}

		matchers.add(matcher);
	}
}

function * issuesOfRoute({name, services, timeoutMs, pathPrefix}: Route, path: RoutingIssue['path'], known: ReadonlySet<string>): Generator<RoutingIssue> {
	for (const [index, {service}] of services.entries()) {
		if (!known.has(service)) {
			yield {path: [...path, 'services', index, 'service'], message: `route ${name} names the unknown service ${service}`};
		}
	}

	if (!(services.reduce((sum, {weight}) => sum + weight, 0) > 0)) {
		yield {path: [...path, 'services'], message: `the weights of route ${name} add up to 0`};
	}

	if (timeoutMs <= 0) {
		yield {path: [...path, 'timeoutMs'], message: `the timeout of route ${name} is 0`};
	}

	if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
		yield {path: [...path, 'pathPrefix'], message: `the path prefix of route ${name} does not begin and end with a slash`};
	}
}

function * keyIssues({customers = []}: RoutingConfig): Generator<RoutingIssue> {
	const owners = new Map<string, string>();
	for (const [index, {name, keys}] of customers.entries()) {
		for (const [at, key] of keys.entries()) {
			const owner = owners.get(key);
			if (owner !== undefined && owner !== name) {
				yield {path: ['customers', index, 'keys', at], message: `customers ${owner} and ${name} share a key`};
			}

			owners.set(key, name);
		}
	}
}
