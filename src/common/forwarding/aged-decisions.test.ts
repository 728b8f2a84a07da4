import {expect, it} from 'vitest';
import {type ServiceRollout, serviceRolloutState} from '../control/service-rollout.js';
import {createForwarderFixture, testBackend, testTable} from '../../testing/forwarder-fixture.js';
import {type RecordingSink} from '../../testing/recording-sink.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {type ScriptedAttempt} from '../../testing/scripted-port.js';
import {type Customer} from './routing-config.js';

type Fixture = ReturnType<typeof createForwarderFixture>;

const servers = [testBackend('a'), testBackend('bb'), testBackend('ccc'), testBackend('other', {services: ['t']})];
const shop: Customer = {name: 'shop', keys: ['key'], priority: 1};
const rollout: ServiceRollout = {
	service: 's', revision: 1, target: 'v1', share: 0, state: serviceRolloutState.inProgress, holdsSessions: false, startedAt: 0, durationMs: 1000,
};

/** Something that changes between the choice of a server and the write, and what comes of the request. */
interface Change {
	readonly name: string;
	readonly change: (fixture: Fixture, waiting: ScriptedAttempt, sink: RecordingSink) => Promise<void> | void;
	/** Status of the answer or refusal; undefined when the caller has gone. */
	readonly status: number | undefined;
	readonly code?: string;
	/** Server of the second attempt: another one of the service, or the named one. */
	readonly server?: string;
	readonly customer?: string;
}

/** Lists the server of an attempt with changed properties; undefined takes it off the list. */
const relist = (changes: Parameters<typeof testBackend>[1] | undefined): Change['change'] => ({pool, clock}, {terms}) => {
	pool.update(servers.flatMap(server => server.id === terms.serverId ? (changes === undefined ? [] : [{...server, ...changes}]) : [server]), clock.now());
};

const configure = (changes: Partial<Fixture['route']> | undefined, customers: readonly Customer[] = [shop]): Change['change'] => ({replaceTable, route}) => {
	replaceTable(testTable(changes === undefined ? [] : [{...route, ...changes}], customers));
};

const changes: readonly Change[] = [
	{
		name: 'the server is draining', change: relist({isDraining: true}), status: 200, server: 'another',
	},
	{
		name: 'the server is no longer listed', change: relist(undefined), status: 200, server: 'another',
	},
	{
		name: 'the server was replaced by another process', change: relist({incarnation: 2}), status: 200,
	},
	{
		name: 'the server serves another service', change: relist({services: ['t']}), status: 200, server: 'another',
	},
	{
		name: 'the zone of the server is evacuated', change({pool, clock}, {terms}) {
			pool.update(servers.map(server => ({...server, zone: server.id === terms.serverId ? 'y' : server.zone})), clock.now(), new Set(['y']));
		}, status: 200, server: 'another',
	},
	{
		name: 'all zones are evacuated', change({pool, clock}) {
			pool.update(servers, clock.now(), new Set(['z']));
		}, status: 503, code: 'zone-evacuated',
	},
	{
		name: 'its release gets no more requests', change({rollouts}) {
			rollouts.set('s', rollout);
		}, status: 503, code: 'no-server',
	},
	{
		name: 'its release was taken back', change({rollouts}) {
			rollouts.set('s', {...rollout, share: 1, state: serviceRolloutState.reverted});
		}, status: 503, code: 'no-server',
	},
	{
		name: 'its release was rejected', change({rollouts}) {
			rollouts.set('s', {...rollout, target: 'v2', rejected: ['v1']});
		}, status: 503, code: 'no-server',
	},
	{
		name: 'the route was removed', change: configure(undefined), status: 404, code: 'no-route',
	},
	{
		name: 'the route was moved to another service', change: configure({services: [{service: 's', weight: 0}, {service: 't', weight: 1}]}), status: 200, server: 'other',
	},
	{
		name: 'the key was revoked', change: configure({}, [{...shop, keys: ['new']}]), status: 401, code: 'unknown-key',
	},
	{
		name: 'the key was given to another customer', change: configure({}, [{...shop, keys: ['new']}, {...shop, name: 'other-shop'}]), status: 200, customer: 'other-shop',
	},
	{
		name: 'requests of the route may be repeated', change: configure({repetition: 'idempotent'}), status: 200,
	},
	{
		name: 'the configuration cannot be read', change({replaceTable}) {
			replaceTable(undefined);
		}, status: 503, code: 'not-configured',
	},
	{
		name: 'the request is under quarantine', change({quarantinedRequests}) {
			quarantinedRequests.add('shop/a/x');
		}, status: 503, code: 'quarantined-request',
	},
	{
		name: 'the lease ended', change({lease}) {
			lease.expiresAt = 0;
		}, status: 503, code: 'lease-expired',
	},
	{
		name: 'hardly any time is left', async change({clock}) {
			await clock.advance(999.5);
		}, status: 503, code: 'withdrawn',
	},
	{
		name: 'the caller has left', change(_, __, sink) {
			sink.onDisconnect?.();
		}, status: undefined,
	},
];

// Guards against a request that comes to the same server again after its refusal, a copy of which would then look like a new one.
it('does not admit a request again that a server has refused', () => {
	const {port, send, replaceTable, route} = createForwarderFixture('once', {}, servers);
	port.onAttempt = (attempt, index) => {
		if (index === 0) {
			replaceTable(testTable([{...route, repetition: 'idempotent'}], [shop]));
			scriptedAnswers.notRun(attempt);
		}
	};

	expect(send().refusal).toMatchObject({status: 503, ran: 'no'});
	expect(port.attempts).toHaveLength(1);
});

// Guards against a request that is written under a decision which no longer holds, and against one that is lost because of that.
it.each(changes)('does not write a request that waits for a connection when $name', async ({change, status, code, server, customer}) => {
	const fixture = createForwarderFixture('once', {}, servers);
	const {port, send, forwarder, budget} = fixture;
	const sink = send();
	const waiting = port.attempts[0]!;
	expect(waiting.events.mayStart()).toBe(true);
	await change(fixture, waiting, sink);
	expect(waiting.events.mayStart()).toBe(false);
	const retries = budget.available;
	port.onAttempt = scriptedAnswers.good;
	waiting.events.onFailure({isUnsent: true, reason: 'withdrawn'});
	expect({status: sink.status ?? sink.refusal?.status, code: sink.refusal?.code}).toEqual({status, code});
	expect(sink.refusal?.ran).toBe(sink.refusal && 'no');
	expect(port.attempts).toHaveLength(status === 200 ? 2 : 1);
	expect(budget.available).toBe(retries);
	expect(forwarder.active).toBe(0);
	if (status === 200) {
		const {serverId} = port.attempts[1]!.terms;
		expect(server === 'another' ? serverId !== waiting.terms.serverId && serverId !== 'other' : serverId === (server ?? serverId)).toBe(true);
		expect(port.attempts[1]!.terms.customer).toBe(customer ?? 'shop');
	}
});
