import {expect, it} from 'vitest';
import {checkRouting} from './check-routing.js';
import {RouteTable} from './route-table.js';
import {RoutingConfigError} from './routing-error.js';
import {repetition, type Route, type RoutingConfig} from './routing-config.js';

function route(changes: Partial<Route> = {}): Route {
	return {
		name: 'r', hostname: 'h.example', pathPrefix: '/a/', repetition: repetition.idempotent, timeoutMs: 1000, targetLatencyMs: 100, targetPauseMs: 0, priority: 0, services: [{service: 's', weight: 1}], maxAttempts: 2, isAnonymous: false, hasPromptParts: false, isResumable: false, models: [], ...changes,
	};
}

function config(routes: readonly Route[], customers?: RoutingConfig['customers']): RoutingConfig {
	return {
		version: 1,
		routes,
		services: [{
			name: 's', healthPath: '/', maxConnections: 10, slots: undefined, models: [],
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		customers,
	};
}

// Guards against an invalid configuration that is accepted and applied.
it.each<{name: string; cfg: RoutingConfig; isValid: boolean}>([
	{name: 'a valid configuration', cfg: config([route()]), isValid: true},
	{name: 'an unknown service', cfg: config([route({services: [{service: 'x', weight: 1}]})]), isValid: false},
	{name: 'no service', cfg: config([route({services: []})]), isValid: false},
	{name: 'weights that add up to 0', cfg: config([route({services: [{service: 's', weight: 0}]})]), isValid: false},
	{name: 'a timeout of 0', cfg: config([route({timeoutMs: 0})]), isValid: false},
	{name: 'two routes with the same host and prefix', cfg: config([route(), route({name: 'other'})]), isValid: false},
	{name: 'two routes whose hosts differ only in case', cfg: config([route(), route({hostname: 'H.example'})]), isValid: false},
	{name: 'a prefix without a slash', cfg: config([route({pathPrefix: '/a'})]), isValid: false},
	{name: 'a key of two customers', cfg: config([route()], [{name: 'x', keys: ['k'], priority: undefined}, {name: 'y', keys: ['k'], priority: undefined}]), isValid: false},
	{name: 'a key listed twice for one customer', cfg: config([route()], [{name: 'x', keys: ['k', 'k'], priority: undefined}]), isValid: true},
])('checks $name: valid $isValid', ({cfg, isValid}) => {
	if (isValid) {
		expect(checkRouting(cfg)).toBe(cfg);
	} else {
		expect(() => checkRouting(cfg)).toThrow(RoutingConfigError);
	}
});

// Guards against requests that match a shorter prefix or another host.
it.each([
	{hostname: 'h.example', path: '/a/x', name: 'r'},
	{hostname: 'H.EXAMPLE', path: '/a/x', name: 'r'},
	{hostname: 'h.example', path: '/a/b/x', name: 'longer'},
	{hostname: 'h.example', path: '/a', name: undefined},
	{hostname: 'other.example', path: '/a/x', name: undefined},
])('finds route $name for $hostname$path', ({hostname, path, name}) => {
	const table = new RouteTable(config([route(), route({name: 'longer', pathPrefix: '/a/b/'})]));
	expect(table.route(hostname, path)?.name).toBe(name);
});
