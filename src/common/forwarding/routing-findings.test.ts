import {expect, it} from 'vitest';
import {sampleRoute as route, sampleRouting as config} from '../../testing/routing-config-samples.js';
import {checkRouting} from './check-routing.js';
import {repetition, type RoutingConfig} from './routing-config.js';
import {routingFindings} from './routing-findings.js';

const plain = config([route()]);
const [service] = plain.services;
const customer = {name: 'x', keys: ['k'], priority: undefined};
const models = ['small', 'large'];

// Guards against a configuration that is sent although a part of it never takes effect, and against warnings on sound ones.
it.each<{name: string; cfg: RoutingConfig; paths: string[]}>([
	{name: 'a sound configuration', cfg: config([route({models}), route({pathPrefix: '/b/', isAnonymous: true})], [customer]), paths: []},
	{name: 'a run-once route with several attempts, which count refusals', cfg: config([route({repetition: repetition.once, maxAttempts: 3})]), paths: []},
	{
		name: 'a weight of 0 and a service without routes',
		cfg: {...config([route({services: [{service: 's', weight: 1}, {service: 't', weight: 0}]})]), services: [service!, {...service!, name: 't'}]},
		paths: ['routes.0.services.1.weight', 'services.1'],
	},
	{name: 'a service listed twice', cfg: {...plain, services: [service!, service!]}, paths: ['services.1.name']},
	{name: 'no connections', cfg: {...plain, services: [{...service!, maxConnections: 0}]}, paths: ['services.0.maxConnections']},
	{name: 'targets above the timeout', cfg: config([route({targetLatencyMs: 1001, targetPauseMs: 1001})]), paths: ['routes.0.targetLatencyMs', 'routes.0.targetPauseMs']},
	{name: 'a host with a port', cfg: config([route({hostname: 'h.example:80'})]), paths: ['routes.0.hostname']},
	{name: 'a prefix with a query', cfg: config([route({pathPrefix: '/a?b/'})]), paths: ['routes.0.pathPrefix']},
	{name: 'a resumable route without a stream', cfg: config([route({isResumable: true})]), paths: ['routes.0.isResumable']},
	{name: 'an anonymous route where no request needs a key', cfg: config([route({isAnonymous: true})]), paths: ['routes.0.isAnonymous']},
	{name: 'a larger model without a second attempt', cfg: config([route({models, maxAttempts: 1})]), paths: ['routes.0.models.1']},
	{name: 'a larger model on a route that may run once', cfg: config([route({models, repetition: repetition.stream})]), paths: ['routes.0.models.1']},
	{name: 'a model listed twice', cfg: config([route({models: ['small', 'small']})]), paths: ['routes.0.models.1']},
	{name: 'a model of no service', cfg: {...config([route({models})]), services: [{...service!, models: [{name: 'small', cost: 1}]}]}, paths: ['routes.0.models.1']},
	{name: 'keys that no route needs', cfg: config([route({isAnonymous: true})], [customer]), paths: ['customers.0.keys']},
	{name: 'keys that give a priority', cfg: config([route({isAnonymous: true})], [{...customer, priority: 0}]), paths: []},
	{name: 'no keys', cfg: config([route()], [{...customer, keys: []}]), paths: ['customers', 'customers.0.keys']},
	{name: 'a key listed twice', cfg: config([route()], [{...customer, keys: ['k', 'k']}]), paths: ['customers.0.keys.1']},
	{name: 'a limit that no request meets', cfg: {...plain, limits: {...plain.limits, maxHeaderBytes: 0}}, paths: ['limits.maxHeaderBytes']},
])('finds what has no effect: $name', ({cfg, paths}) => {
	expect(routingFindings(checkRouting(cfg)).map(({path}) => path.join('.'))).toEqual(paths);
});
