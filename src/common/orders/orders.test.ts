import {expect, it} from 'vitest';
import {ControlCluster, testDocument, testServer} from '../../testing/control-cluster.js';
import {nullCounters} from '../base/null-counters.js';
import {nullLogger} from '../base/null-logger.js';
import {type BackendServer} from '../control/backend-server.js';
import {checkDocument} from '../documents/parse-document.js';
import {type EngineOrder} from './engine-order.js';
import {hasCapacityForStep, planLoads} from './load-plan.js';
import {OrderIssuer} from './order-issuer.js';

const from = 'small@1';
const to = 'small@2';

function engine(id: string, {zone = 'zone-a', versions = [from], acceptsOrders = true, checksFencing = true} = {}): BackendServer {
	return {...testServer(id, 1, zone, versions), acceptsOrders, checksFencing};
}

// Guards against steps that move traffic before the capacity is loaded, and against loads in one zone only.
it.each<[string, BackendServer[], number, {wanted: number; present: number; first: string | undefined; hasCapacity: boolean}]>([
	['nothing loaded', [engine('a'), engine('b')], 1, {
		wanted: 1, present: 0, first: 'a', hasCapacity: false,
	}],
	['enough for a small step', [engine('a', {versions: [from, to]}), engine('b')], 5, {
		wanted: 1, present: 1, first: 'b', hasCapacity: true,
	}],
	['too few engines for 50 %', [engine('a', {versions: [from, to]}), engine('b'), engine('c'), engine('d', {zone: 'zone-b'})], 50, {
		wanted: 2, present: 1, first: 'd', hasCapacity: false,
	}],
	['no engine accepts orders, none offers the version', [engine('a', {acceptsOrders: false})], 5, {
		wanted: 1, present: 0, first: undefined, hasCapacity: false,
	}],
	['no engine accepts orders, one offers the version', [engine('a', {acceptsOrders: false}), engine('b', {versions: [to]})], 100, {
		wanted: 1, present: 1, first: undefined, hasCapacity: true,
	}],
])('plans loads: %s', (_, servers, percentage, expected) => {
	const plan = planLoads(servers, {from, to}, percentage);
	expect({
		wanted: plan.wanted, present: plan.present, first: plan.candidates[0]?.id, hasCapacity: hasCapacityForStep(plan),
	}).toEqual(expected);
});

async function startCluster(servers: readonly BackendServer[]): Promise<{cluster: ControlCluster; orders: Array<EngineOrder & {at: number; by: string}>}> {
	const cluster = await ControlCluster.start();
	const orders: Array<EngineOrder & {at: number; by: string}> = [];
	for (const voter of cluster.voters) {
		const {node, service} = cluster.daemon(voter);
		const issuer = new OrderIssuer({
			view: node.follower.view,
			leadership: service!.leadership,
			client: {
				async send(order) {
					orders.push({...order, at: cluster.clock.now(), by: voter});
				},
			},
			clock: cluster.clock,
			counters: nullCounters,
			logger: nullLogger,
			loadIntervalMs: 1000,
		});
		expect(issuer).toBeDefined();
	}

	const {client, follower} = cluster.daemon('v1').node;
	for (const server of servers) {
		// eslint-disable-next-line no-await-in-loop -- joins in a fixed order
		await cluster.settle(follower.propose({type: 'backend-joined', server, at: cluster.clock.wallTime()}));
	}

	const document = checkDocument({...testDocument('s', [from, to]), rollout: {from, to, steps: [50, 100]}});
	await cluster.settle(client.submit(document, {changeId: 'rollout'}));
	return {cluster, orders};
}

// Guards against loads at a higher rate than the weight store allows, and against loads on more engines than the step needs.
it('orders as many loads as the step needs, within the rate of the weight store', async () => {
	const {cluster, orders} = await startCluster([engine('a'), engine('b'), engine('c'), engine('d')]);
	await cluster.clock.advance(10_000);
	expect(orders.map(({server, ref, kind}) => [server.id, ref, kind])).toEqual([['a', to, 'load'], ['b', to, 'load']]);
	expect(orders[1]!.at - orders[0]!.at).toBeGreaterThanOrEqual(1000);
	expect(new Set(orders.map(({fencing}) => fencing)).size).toBe(1);
});

// Guards against two leaders that order one engine at the same time.
it.each([[true, 1000], [false, 4000]])('a new leader orders engines that check fencing (%s) no earlier than %i ms', async (checksFencing, leastMs) => {
	const {cluster, orders} = await startCluster([engine('a', {checksFencing})]);
	await cluster.clock.advance(10_000);
	const [first] = orders;
	expect(first).toBeDefined();
	cluster.log.elect('v2');
	const electedAt = cluster.clock.now();
	await cluster.clock.advance(8000);
	const next = orders.find(({by}) => by === 'v2');
	expect(next!.at - electedAt).toBeGreaterThanOrEqual(leastMs);
	expect(next!.fencing).toBeGreaterThan(first!.fencing);
	expect(orders.filter(({by, at}) => by === 'v1' && at > electedAt)).toEqual([]);
});
