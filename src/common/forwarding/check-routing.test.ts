import {expect, it} from 'vitest';
import {sampleRoute as route, sampleRouting as config} from '../../testing/routing-config-samples.js';
import {checkRouting} from './check-routing.js';
import {RouteTable} from './route-table.js';
import {RoutingConfigError} from './routing-error.js';
import {type RoutingConfig} from './routing-config.js';

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

// Guards against an author who learns of one error at a time, or not where it is.
it('reports all violations with their places', () => {
	let issues: RoutingConfigError['issues'] = [];
	try {
		const customers = [{name: 'x', keys: ['k'], priority: undefined}, {name: 'y', keys: ['j', 'k'], priority: undefined}];
		checkRouting(config([route({timeoutMs: 0, services: [{service: 's', weight: 1}, {service: 'x', weight: 1}]}), route()], customers));
	} catch (error) {
		({issues} = error as RoutingConfigError);
	}

	expect(issues.map(({path}) => path.join('.'))).toEqual(['routes.0.services.1.service', 'routes.0.timeoutMs', 'routes.1', 'customers.1.keys.1']);
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
