import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend} from '../../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {answerHead} from '../../testing/scripted-port.js';
import {type ServiceRollout, serviceRolloutState} from '../control/service-rollout.js';
import {type BackendServer} from '../control/backend-server.js';
import {type Repetition} from './routing-config.js';

const encoder = new TextEncoder();
const inZone = (zone: string, ...ids: readonly string[]) => ids.map(id => testBackend(id, {zone}));
const servers = [...inZone('y', 'a', 'bb'), ...inZone('z', 'ccc', 'dddd')];
const open = new Set(['ccc', 'dddd']);

// Guards against an attempt at a server of an evacuated zone, whatever went wrong before, and against one that reaches no other server.
it.each<{name: string; kind: Repetition; answers: ReadonlyArray<keyof typeof scriptedAnswers>; status: number}>([
	{
		name: 'a first attempt', kind: 'once', answers: ['good'], status: 200,
	},
	{
		name: 'a retry after a refusal', kind: 'once', answers: ['notRun', 'good'], status: 200,
	},
	{
		name: 'a retry after a server of another process', kind: 'once', answers: ['otherServer', 'good'], status: 200,
	},
	{
		name: 'a retry after a failure', kind: 'idempotent', answers: ['failed', 'good'], status: 200,
	},
	{
		name: 'a retry after a broken connection', kind: 'idempotent', answers: ['reset', 'good'], status: 200,
	},
	{
		name: 'a retry after a server that cannot be reached', kind: 'once', answers: ['unsent', 'good'], status: 200,
	},
	{
		name: 'a last attempt after both open servers have failed', kind: 'idempotent', answers: ['reset', 'reset', 'good'], status: 502,
	},
])('sends $name to an open zone only', ({kind, answers, status}) => {
	for (let seed = 0; seed < 20; seed++) {
		const {pool, clock, port, send} = createForwarderFixture(kind, {}, servers);
		pool.update(servers, clock.now(), new Set(['y']));
		const first = seed % 4;
		for (let index = 0; index < first; index++) {
			send();
		}

		const before = port.attempts.length;
		port.onAttempt = (attempt, index) => {
			scriptedAnswers[answers[index - before]!](attempt);
		};

		const sink = send();
		expect(sink.status ?? sink.refusal?.status).toBe(status);
		expect(port.attempts.filter(({terms}) => !open.has(terms.serverId))).toEqual([]);
	}
});

// Guards against a refusal that callers take for work that may have run, that asks them back at once or all at the same time, and against a service that stays refused.
it('refuses requests as not run while all servers of the service are in evacuated zones', () => {
	const {pool, clock, port, send, forwarder, budget} = createForwarderFixture('once', {}, servers);
	pool.update(servers, clock.now(), new Set(['y', 'z']));
	const retries = budget.available;
	const times = Array.from({length: 100}, () => {
		const {refusal} = send();
		expect(refusal).toMatchObject({status: 503, code: 'zone-evacuated', ran: 'no'});
		return refusal!.retryAfterSeconds!;
	});
	expect(Math.min(...times)).toBeGreaterThanOrEqual(1);
	expect(Math.max(...times)).toBeLessThanOrEqual(3);
	expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(1.5);
	expect([port.attempts.length, forwarder.active]).toEqual([0, 0]);
	expect(budget.available).toBeGreaterThanOrEqual(retries);
	pool.update(servers, clock.now(), new Set(['z']));
	send();
	expect(port.attempts).toHaveLength(1);
});

// Guards against a refusal that names an evacuation although the servers are missing for another reason.
it.each<{name: string; listed: readonly BackendServer[]; zones: readonly string[]; code: string}>([
	{
		name: 'no server is listed', listed: [], zones: ['y', 'z'], code: 'no-server',
	},
	{
		name: 'all servers are draining', listed: inZone('y', 'a').map(server => ({...server, isDraining: true})), zones: ['y'], code: 'no-server',
	},
	{
		name: 'the others are draining', listed: [...inZone('y', 'a'), ...inZone('z', 'ccc').map(server => ({...server, isDraining: true}))], zones: ['y'], code: 'zone-evacuated',
	},
	{
		name: 'the others serve another service', listed: [...inZone('y', 'a'), ...inZone('z', 'ccc').map(server => ({...server, services: ['t']}))], zones: ['y'], code: 'zone-evacuated',
	},
])('refuses a request with $code when $name', ({listed, zones, code}) => {
	const {pool, clock, send} = createForwarderFixture('once');
	pool.update(listed, clock.now(), new Set(zones));
	expect(send().refusal).toMatchObject({status: 503, code, ran: 'no'});
});

// Guards against an evacuation that aborts or repeats what already runs.
it('lets running requests end at the servers of the zone', async () => {
	const {pool, clock, port, send} = createForwarderFixture('stream', {}, servers);
	const sink = send();
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	events.onData(encoder.encode('id: 1\ndata: x\n\n'));
	pool.update(servers, clock.now(), new Set(['y', 'z']));
	await clock.advance(100);
	events.onData(encoder.encode('id: 2\ndata: x\n\n'));
	events.onEnd();
	expect({
		isEnded: sink.isEnded, isCut: sink.isCut, isAborted: port.attempts[0]!.isAborted, attempts: port.attempts.length,
	}).toEqual({
		isEnded: true, isCut: false, isAborted: false, attempts: 1,
	});
});

const rollout: ServiceRollout = {
	service: 's', revision: 1, target: 'v2', share: 1, state: serviceRolloutState.inProgress, holdsSessions: false, startedAt: 0, durationMs: 1000,
};
const newInY = [...inZone('y', 'a').map(server => ({...server, release: 'v2'})), ...inZone('z', 'ccc')];

// Guards against sessions of a roll-out that are refused although the previous release can serve them, and against a release that gets more requests than its share.
it.each<{name: string; state: Partial<ServiceRollout>; zone: string; server: string | undefined}>([
	{
		name: 'the new release is evacuated, in progress', state: {}, zone: 'y', server: 'ccc',
	},
	{
		name: 'the new release is evacuated, at a small share', state: {share: 0.5}, zone: 'y', server: 'ccc',
	},
	{
		name: 'the new release is evacuated, completed', state: {state: serviceRolloutState.completed}, zone: 'y', server: 'ccc',
	},
	{
		name: 'the previous release is evacuated, without a share', state: {share: 0}, zone: 'z', server: undefined,
	},
	{
		name: 'the previous release is evacuated, reverted', state: {state: serviceRolloutState.reverted}, zone: 'z', server: undefined,
	},
	{
		name: 'the previous release is evacuated, full share', state: {}, zone: 'z', server: 'a',
	},
])('sends a session to $server when $name', ({state, zone, server}) => {
	const {pool, clock, port, send, rollouts} = createForwarderFixture('once', {}, newInY);
	rollouts.set('s', {...rollout, ...state});
	pool.update(newInY, clock.now(), new Set([zone]));
	for (let session = 0; session < 20; session++) {
		const sink = send({session: `s${session}`});
		expect(sink.refusal?.ran).toBe(server === undefined ? 'no' : undefined);
	}

	expect(new Set(port.attempts.map(({terms}) => terms.serverId))).toEqual(new Set(server === undefined ? [] : [server]));
});

// Guards against a request from another host, or for one, that is sent to a server of an evacuated zone or handed over in a circle.
it('keeps handed-over requests away from evacuated zones', () => {
	const {pool, clock, port, peerPort, peers, reach, send} = createForwarderFixture('once', {}, servers);
	peers.update([{
		host: 'h1', incarnation: 1, address: 'h1:1', peerAddress: 'h1:1', zone: 'y', leaving: false,
	}]);
	pool.update(servers, clock.now(), new Set(['y']));
	send({attemptsLeft: 2});
	expect(open.has(port.attempts[0]!.terms.serverId)).toBe(true);
	pool.update(servers, clock.now(), new Set(['y', 'z']));
	expect(send({attemptsLeft: 2}).refusal).toMatchObject({code: 'zone-evacuated', ran: 'no'});
	expect(send().refusal).toMatchObject({code: 'zone-evacuated', ran: 'no'});
	expect(peerPort.attempts).toHaveLength(0);
	reach.isLost = () => true;
	expect(send().refusal).toMatchObject({code: 'zone-evacuated', ran: 'no'});
	expect(peerPort.attempts).toHaveLength(0);
	// Entry hosts of an evacuated zone keep working.
	pool.update(servers, clock.now(), new Set(['y']));
	send();
	expect(peerPort.attempts).toHaveLength(1);
});

// Guards against servers that are sent too many requests when they return, because a limit of refusals did not reach them.
it('passes a limit of refusals on to the servers of evacuated zones', () => {
	const {pool, clock, port, send} = createForwarderFixture('once', {}, servers);
	pool.update(servers, clock.now(), new Set(['y']));
	send();
	port.attempts[0]!.events.onHead(answerHead({maxRefusalsPerSecond: 7}));
	expect(pool.notDraining('s').map(({refusalLimit}) => refusalLimit.maxPerSecond)).toEqual([7, 7, 7, 7]);
});

// Guards against a request that goes from host to host although all of them would refuse it.
it('hands no request over that could not reach its server before all zones were evacuated', () => {
	const {pool, clock, port, peerPort, peers, send} = createForwarderFixture('once', {}, servers);
	peers.update([{
		host: 'h1', incarnation: 1, address: 'h1:1', peerAddress: 'h1:1', zone: 'z', leaving: false,
	}]);
	const sink = send();
	pool.update(servers, clock.now(), new Set(['y', 'z']));
	port.attempts[0]!.events.onFailure({isUnsent: true, reason: 'refused'});
	expect(sink.refusal).toMatchObject({code: 'zone-evacuated', ran: 'no'});
	expect(peerPort.attempts).toHaveLength(0);
});
