import {mayRepeat} from './may-repeat.js';
import {type RoutingIssue} from './routing-error.js';
import {type Route, type RoutingConfig} from './routing-config.js';

/** Returns the entries of a valid routing configuration that can never match or take effect, and limits that contradict each other. */
export function routingFindings(cfg: RoutingConfig): RoutingIssue[] {
	return [
		...cfg.routes.flatMap((route, index) => [...routeFindings(route, ['routes', index], cfg)]),
		...serviceFindings(cfg),
		...customerFindings(cfg),
		...limitFindings(cfg),
	];
}

function * routeFindings(route: Route, path: RoutingIssue['path'], {customers, services}: RoutingConfig): Generator<RoutingIssue> {
	yield * matcherFindings(route, path);
	for (const [index, {service, weight}] of route.services.entries()) {
		if (weight === 0) {
			yield {path: [...path, 'services', index, 'weight'], message: `is 0, so the route sends no request to ${service}`};
		}
	}

	if (route.targetLatencyMs > route.timeoutMs) {
		yield {path: [...path, 'targetLatencyMs'], message: `is above the timeout of the route (${route.timeoutMs}), so no answer can miss it`};
	}

	if (route.targetPauseMs > route.timeoutMs) {
		yield {path: [...path, 'targetPauseMs'], message: `is above the timeout of the route (${route.timeoutMs}), so no answer can miss it`};
	}

	if (route.isResumable && route.repetition !== 'stream') {
		yield {path: [...path, 'isResumable'], message: 'has no effect, because the route does not answer with a stream'};
	}

	if (route.isAnonymous && !customers) {
		yield {path: [...path, 'isAnonymous'], message: 'has no effect, because there are no customers and no request needs a key'};
	}

	yield * modelFindings(route, path, services);
}

function * matcherFindings({hostname, pathPrefix}: Route, path: RoutingIssue['path']): Generator<RoutingIssue> {
	// Requests are matched by the name in their `host` header, without the port, and by their path.
	if (/[\s:\/?#]/v.test(hostname)) {
		yield {path: [...path, 'hostname'], message: `${JSON.stringify(hostname)} is not a host name without a port, so no request matches`};
	}

	if (/[\s?#]/v.test(pathPrefix)) {
		yield {path: [...path, 'pathPrefix'], message: `${JSON.stringify(pathPrefix)} has characters that are in no path, so no request matches`};
	}
}

function * modelFindings(route: Route, path: RoutingIssue['path'], services: RoutingConfig['services']): Generator<RoutingIssue> {
	const {models} = route;
	if (models.length > 1 && !(mayRepeat(route) && route.maxAttempts > 1)) {
		const reason = mayRepeat(route) ? 'a larger model is asked in a second attempt, and the route allows one' : 'a larger model is asked in a second run, and requests of the route run once';
		yield {path: [...path, 'models', 1], message: `never answers: ${reason}`};
	}

	const offers = route.services.map(({service}) => services.find(({name}) => name === service)!.models);
	for (const [index, model] of models.entries()) {
		if (models.indexOf(model) < index) {
			yield {path: [...path, 'models', index], message: `${model} is listed twice`};
		} else if (offers.every(offered => offered.length > 0 && offered.every(({name}) => name !== model))) {
			yield {path: [...path, 'models', index], message: `${model} is a model of no service of the route`};
		}
	}
}

function * serviceFindings({services, routes}: RoutingConfig): Generator<RoutingIssue> {
	const used = new Set(routes.flatMap(route => route.services.filter(({weight}) => weight > 0).map(({service}) => service)));
	for (const [index, {name, maxConnections}] of services.entries()) {
		if (services.findIndex(other => other.name === name) < index) {
			yield {path: ['services', index, 'name'], message: `${name} is listed twice, and the last entry counts`};
		} else if (!used.has(name)) {
			yield {path: ['services', index], message: `no route sends requests to ${name}`};
		}

		if (maxConnections === 0) {
			yield {path: ['services', index, 'maxConnections'], message: 'is 0, but each entry host opens one connection to a server at least'};
		}
	}
}

function * customerFindings({customers, routes}: RoutingConfig): Generator<RoutingIssue> {
	if (!customers) {
		return;
	}

	const isKeyNeeded = routes.some(({isAnonymous}) => !isAnonymous);
	if (isKeyNeeded && customers.every(({keys}) => keys.length === 0)) {
		yield {path: ['customers'], message: 'have no keys, so all requests of routes that are not anonymous are refused'};
	}

	const seen = new Set<string>();
	for (const [index, {name, keys, priority}] of customers.entries()) {
		const path = ['customers', index];
		if (keys.length === 0) {
			yield {path: [...path, 'keys'], message: `${name} has no key, so no request is from this customer`};
		} else if (!isKeyNeeded && priority === undefined) {
			yield {path: [...path, 'keys'], message: `no route needs the keys of ${name}, because all are anonymous`};
		}

		for (const [at, key] of keys.entries()) {
			if (seen.has(key)) {
				yield {path: [...path, 'keys', at], message: `a key of ${name} is listed twice`};
			}

			seen.add(key);
		}
	}
}

function * limitFindings({limits}: RoutingConfig): Generator<RoutingIssue> {
	if (limits.maxHeaderBytes === 0) {
		yield {path: ['limits', 'maxHeaderBytes'], message: 'is 0, so all requests are refused'};
	}
}
