import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend} from '../../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {type ScriptedAttempt} from '../../testing/scripted-port.js';
import {type BackendServer} from '../control/backend-server.js';
import {serviceRolloutState, type ServiceRolloutState} from '../control/service-rollout.js';
import {SharedColdServers} from './cold-servers.js';
import {type Repetition, type Route} from './routing-config.js';

const coldA = testBackend('a', {coldSince: 1});
const warmB = testBackend('bb');

/** Creates a forwarder at one of five hosts that share the limits of cold servers, which it may use every 175 ms, or at another host. */
async function createFixture(servers: readonly BackendServer[], {hasShare = true, kind = 'once', ...changes}: Partial<Route> & {hasShare?: boolean; kind?: Repetition} = {}) {
	let cold: SharedColdServers | undefined;
	const fixture = createForwarderFixture(kind, changes, servers, {
		createCold(clock) {
			cold = new SharedColdServers('self', clock, () => 30.5);
			return cold;
		},
	});
	const hosts = ['self', ...Array.from({length: 9}, (_, index) => `host-${index}`)];
	cold!.update(hosts.map(host => ({
		host, incarnation: 1, address: `${host}:1`, peerAddress: `${host}:2`, zone: (host === 'self') === hasShare ? 'z' : 'y', leaving: false,
	})), 1);
	await fixture.clock.advance(6000);
	/** Numbers of attempts by server. */
	const sent = () => Object.fromEntries(servers.map(({id}) => [id, fixture.port.attempts.filter(({terms}) => terms.serverId === id).length]));
	return {...fixture, sent};
}

/** Starts to write an attempt; one that must not be written is withdrawn. @returns whether it is written. */
function write({events}: ScriptedAttempt): boolean {
	const isWritten = events.mayStart();
	if (!isWritten) {
		events.onFailure({isUnsent: true, reason: 'withdrawn'});
	}

	return isWritten;
}

// Guards against requests beyond the share of this host, requests that wait or are refused while a warm server is free, and a share
// that is left unused.
it.each([
	{name: 'a share', hasShare: true, toCold: 6},
	{name: 'no share', hasShare: false, toCold: 0},
])('sends $toCold of 100 requests in a second to a cold server with $name', async ({hasShare, toCold}) => {
	const {clock, port, send, sent, counters} = await createFixture([coldA, warmB], {hasShare});
	port.onAttempt = attempt => {
		expect(write(attempt)).toBe(true);
		scriptedAnswers.good(attempt);
	};

	for (let count = 0; count < 100; count++) {
		expect(send().status).toBe(200);
		await clock.advance(10); // eslint-disable-line no-await-in-loop -- requests follow each other
	}

	expect(sent()).toEqual({a: toCold, bb: 100 - toCold});
	expect(counters.sum('forward.cold-requests')).toBe(toCold);
	expect(counters.sum('forward.cold-skipped')).toBeGreaterThan(80);
});

// Guards against requests chosen one after the other that are written together because their connections open at the same moment.
it.each([
	{name: 'at a warm server', servers: [coldA, warmB], status: 200},
	{name: 'not at all, without a warm one', servers: [coldA], status: 503},
])('does not write two requests to a cold server together; the second is answered $name', async ({servers, status}) => {
	const {clock, port, pool, send, sent} = await createFixture([coldA]);
	send();
	await clock.advance(180);
	const second = send();
	expect(sent()).toEqual({a: 2});
	pool.update(servers, clock.now());
	const [one, other] = port.attempts;
	port.onAttempt = scriptedAnswers.good;
	expect([write(one!), write(other!)]).toEqual([true, false]);
	expect(second.status ?? second.refusal?.status).toBe(status);
	expect(second.refusal?.ran).toBe(status === 200 ? undefined : 'no');
});

// Guards against a request that is handled twice when its wait is over, one that waits for a cold server beyond an eighth of its target latency, one that is refused although the
// server has room soon, and a refusal that does not say that the request has not run.
it.each([
	{
		name: 'its room comes soon', targetLatencyMs: 1600, hasShare: true, answeredAfterMs: 175,
	},
	{
		name: 'its room comes too late', targetLatencyMs: 1200, hasShare: true, answeredAfterMs: undefined,
	},
	{
		name: 'this host has no share', targetLatencyMs: 10_000, hasShare: false, answeredAfterMs: undefined,
	},
])('decides on a request when all servers are cold and $name', async ({answeredAfterMs, ...changes}) => {
	const {clock, port, send, counters} = await createFixture([coldA], changes);
	port.onAttempt = attempt => {
		expect(write(attempt)).toBe(true);
		scriptedAnswers.good(attempt);
	};

	if (changes.hasShare) {
		expect(send().status).toBe(200);
	}

	const sentAt = clock.now();
	const finishedAfterMs: number[] = [];
	const sinks = [send(), send()];
	for (const sink of sinks) {
		sink.onFinished = () => {
			finishedAfterMs.push(clock.now() - sentAt);
		};
	}

	await clock.advance(2000);
	const refused = [503, 'servers-cold', 'no'];
	expect(sinks.map(({status, refusal}) => refusal ? [refusal.status, refusal.code, refusal.ran] : status)).toEqual([answeredAfterMs === undefined ? refused : 200, refused]);
	expect(sinks.every(({refusal}) => !refusal || refusal.retryAfterSeconds! > 0)).toBe(true);
	expect(finishedAfterMs).toEqual(answeredAfterMs === undefined ? [] : [answeredAfterMs, answeredAfterMs]);
	expect(counters.sum('forward.waited-for-cold-server')).toBe(answeredAfterMs === undefined ? 0 : 2);
});

// Guards against a request that waits on for a cold server after its caller has left, and is sent later.
it('does not send a request whose caller has left while it waited', async () => {
	const {clock, port, send, forwarder} = await createFixture([coldA], {targetLatencyMs: 1600});
	send();
	send().onDisconnect!();
	await clock.advance(1000);
	expect(port.attempts).toHaveLength(1);
	expect(forwarder.active).toBe(0);
});

// Guards against a trial that moves to other servers of the new release, and so exposes more of them, because its own are cold; and
// against requests to a release that must get none.
it.each<{name: string; state: ServiceRolloutState; isCold: (id: string, used: readonly string[]) => boolean; releases: readonly string[]}>([
	{
		name: 'in progress, the server of its trial is cold', state: serviceRolloutState.inProgress, isCold: (id, used) => id.startsWith('new') && used.includes(id), releases: ['new', 'old'],
	},
	{
		name: 'completed, all new servers but one are cold', state: serviceRolloutState.completed, isCold: id => id.startsWith('new') && id !== 'new-5', releases: ['new'],
	},
	{
		name: 'completed, all new servers are cold', state: serviceRolloutState.completed, isCold: id => id.startsWith('new'), releases: ['new', 'old'],
	},
	{
		name: 'reverted, all old servers are cold', state: serviceRolloutState.reverted, isCold: id => id.startsWith('old'), releases: ['old'],
	},
])('sends to $releases during a roll-out: $name', async ({state, isCold, releases}) => {
	const servers = ['old', 'new'].flatMap(release => Array.from({length: 6}, (_, index) => testBackend(`${release}-${index}`, {release})));
	const {clock, pool, port, rollouts, send} = await createFixture(servers, {targetLatencyMs: 0});
	rollouts.set('s', {
		service: 's', target: 'new', rejected: ['bad'], state, share: 1 / 6, holdsSessions: true, startedAt: 0, durationMs: 1000, revision: 1,
	});
	port.onAttempt = scriptedAnswers.good;
	const play = async () => {
		const before = port.attempts.length;
		for (let index = 0; index < 200; index++) {
			send({session: `session-${index}`});
			await clock.advance(1); // eslint-disable-line no-await-in-loop -- requests follow each other
		}

		return [...new Set(port.attempts.slice(before).map(({terms}) => terms.serverId))].sort((left, right) => left.localeCompare(right));
	};

	const before = await play();
	pool.update([...servers.map(server => isCold(server.id, before) ? {...server, coldSince: 1} : server), testBackend('bad-0', {release: 'bad'})], clock.now());
	const after = await play();
	expect(after.filter(id => id.startsWith('new'))).toEqual(before.filter(id => id.startsWith('new')));
	expect([...new Set(after.map(id => id.split('-')[0]))]).toEqual(releases);
});
