import {expect, it} from 'vitest';
import {HeldBytes} from '../base/held-bytes.js';
import {ControlCluster} from '../../testing/control-cluster.js';
import {DriftingClock} from '../../testing/drifting-clock.js';
import {testBackend, testRoute, testTable} from '../../testing/forwarder-fixture.js';
import {RecordingCounters} from '../../testing/recording-counters.js';
import {RecordingSink} from '../../testing/recording-sink.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {ScriptedPort} from '../../testing/scripted-port.js';
import {nullLogger} from '../base/null-logger.js';
import {SeededRandom} from '../base/seeded-random.js';
import {plainTextCodec} from '../base/text-codec.js';
import {maxRenewHoldMs, renewIntervalMs} from '../control/control-times.js';
import {type RoutingConfig} from '../forwarding/routing-config.js';
import {ForwardHost, type ForwardHostOptions} from './forward-host.js';

const configurationBoundMs = 2000;
const host = 'edge';

/** Routes `/old/` and, if asked for, `/new/` of service `s`. */
function sourceOf(version: number, hasNewRoute: boolean): string {
	const prefixes = hasNewRoute ? ['/old/', '/new/'] : ['/old/'];
	const {cfg} = testTable(prefixes.map(pathPrefix => testRoute({name: pathPrefix, pathPrefix})));
	return JSON.stringify({...cfg, version});
}

async function start(seed: number, {startupMs = 3000, boundMs = configurationBoundMs, coldBounds}: {startupMs?: number; boundMs?: number; coldBounds?: ForwardHostOptions['coldBounds']} = {}) {
	const counters = new RecordingCounters();
	const port = new ScriptedPort(scriptedAnswers.good);
	const cluster = await ControlCluster.start([], seed);
	const {clock} = cluster;
	const hostClock = new DriftingClock(clock, 1);
	const edge = new ForwardHost({
		held: new HeldBytes(),
		entry: {
			host, incarnation: clock.wallTime(), address: 'edge:80', peerAddress: 'edge:90', zone: 'zone-a',
		},
		seeds: () => cluster.voters,
		clock: hostClock,
		steadyClock: clock,
		random: new SeededRandom(seed),
		transport: cluster.network.attach(host),
		counters,
		logger: nullLogger,
		port,
		peerPort: new ScriptedPort(),
		addresses: {acceptsConnections: async () => true, refusesConnections: async () => false},
		digests: {digest: ({message}) => message.target},
		parseRouting: source => JSON.parse(source) as RoutingConfig,
		codec: plainTextCodec,
		repeatLimit: {share: 0.1, slack: 10, windowMs: 10_000},
		configurationBoundMs: boundMs,
		sessionMs: 5000,
		coldBounds,
	});
	const leader = cluster.daemon('v1').follower;
	await cluster.settle(leader.propose({type: 'backend-joined', server: testBackend('a'), at: clock.wallTime()}));
	await cluster.settle(leader.propose({type: 'apply-routing', version: 1, source: sourceOf(1, false)}));
	edge.start();
	await clock.advance(startupMs);
	const send = (path: string) => {
		const sent = {
			path, sink: new RecordingSink(), sentAt: clock.now(), answeredAt: Infinity,
		};
		sent.sink.onFinished = () => {
			sent.answeredAt = clock.now();
		};

		edge.forwarder.forward({
			id: path, hostname: 'h', path, key: undefined, deadlineMs: 6000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method: 'GET', target: path, headers: [], body: undefined,
			},
		}, sent.sink);
		return sent;
	};

	return {
		cluster, clock, hostClock, edge, leader, send, counters, port,
	};
}

type Sent = Awaited<ReturnType<typeof start>>['send'] extends (path: string) => infer Result ? Result : never;

const statusOf = ({sink}: Sent) => sink.status ?? sink.refusal?.status;

// Guards against a host that starts and lets requests wait twice, first for its lease and then for a confirmation that came with it.
it('decides on the requests that wait for its first lease by the configuration that the lease confirms', async () => {
	const {cluster, clock, edge, send, counters} = await start(1, {startupMs: 0});
	const sent = [send('/old/x'), send('/none/x')];
	expect(edge.forwarder.active).toBe(2);
	await clock.advance(1500);
	expect(sent.map(item => statusOf(item))).toEqual([200, 404]);
	expect([counters.sum('forward.waited'), counters.sum('forward.waited-for-confirmation')]).toEqual([2, 0]);
	edge.dispose();
	cluster.dispose();
});

// Guards against requests that wait for the next renewal at its interval, or for longer than it takes.
it('renews at once for a request that waits for a confirmation', async () => {
	const {cluster, clock, edge, send, counters} = await start(1, {boundMs: 20});
	const {lease} = edge.follower;
	const before = lease.currentUntil;
	await clock.advanceUntil(() => lease.currentUntil > before, 2000, 1);
	// Between two renewals: the leader holds them for most of their interval.
	await clock.advance((renewIntervalMs - maxRenewHoldMs) / 2);
	const sent = send('/none/x');
	expect(statusOf(sent)).toBeUndefined();
	await clock.advance(10);
	expect([statusOf(sent), lease.currentUntil >= sent.sentAt, counters.sum('forward.waited-for-confirmation')]).toEqual([404, true, 1]);
	edge.dispose();
	cluster.dispose();
});

// Guards against a host that answers 404 for an added route because its renewals fail, and against one that refuses for longer than the failure lasts.
it.each(Array.from({length: 10}, (_, index) => ({cutAfterMs: index * 100})))('never refuses an added route for good when its renewals fail for 3 s, $cutAfterMs ms later', async ({cutAfterMs}) => {
	const {cluster, clock, edge, leader, send} = await start(cutAfterMs + 1);
	await clock.advance(cutAfterMs);
	cluster.network.partition([host], cluster.voters);
	const cutAt = clock.now();
	await cluster.settle(leader.propose({type: 'apply-routing', version: 2, source: sourceOf(2, true)}));
	const ackedAt = clock.now();
	const sent: Sent[] = [];
	let healedAt = Infinity;
	while (clock.now() < cutAt + 6000) {
		if (healedAt === Infinity && clock.now() >= cutAt + 3000) {
			cluster.network.heal();
			healedAt = clock.now();
		}

		sent.push(send('/new/x'), send('/old/x'), send('/none/x'));
		await clock.advance(50); // eslint-disable-line no-await-in-loop -- requests follow each other
	}

	await clock.advance(1000);
	const due = sent.filter(({path, sentAt}) => path === '/new/x' && sentAt > ackedAt + configurationBoundMs);
	expect(due.filter(item => ![200, 503].includes(statusOf(item)!))).toEqual([]);
	expect(due.filter(({sentAt, answeredAt}) => answeredAt > sentAt + 450)).toEqual([]);
	expect(sent.filter(item => statusOf(item) === 503 && item.sink.refusal!.ran !== 'no')).toEqual([]);
	// When the links return, one renewal may still wait for a reply that was lost: twice the discovery timeout, because each voter has timed out once, with its backoff and that of a redirect.
	const later = sent.filter(({sentAt}) => sentAt > healedAt + 1000 + 200 + 200 + 10);
	expect(later.length).toBeGreaterThan(50);
	expect(later.map(item => [item.path, statusOf(item)])).toEqual(later.map(({path}) => [path, path === '/none/x' ? 404 : 200]));
	expect(sent.filter(({path, sentAt}) => path === '/old/x' && sentAt < cutAt + 2500).map(item => statusOf(item)).every(status => status === 200)).toBe(true);
	edge.dispose();
	cluster.dispose();
});

const orders = Array.from({length: 12}, (_, index) => ({isCut: index > 1, cutAfterMs: index * 100}));

// Guards against a request that reaches a server of an evacuated zone later than 5 s after the order, also from a host that has lost its contact.
it.each(orders)('sends nothing to an evacuated zone 5 s after the order, cut off: $isCut, $cutAfterMs ms', async ({isCut, cutAfterMs}) => {
	const {cluster, clock, edge, leader, send, counters, port} = await start(cutAfterMs + 1);
	cluster.log.commandVersion = 3;
	await cluster.settle(leader.propose({type: 'backend-joined', server: testBackend('bb', {zone: 'y'}), at: clock.wallTime()}));
	await clock.advance(1000 + cutAfterMs);
	if (isCut) {
		cluster.network.partition([host], cluster.voters);
	}

	const order = async (type: 'evacuate-zone' | 'end-evacuation') => cluster.settle(leader.propose({
		type, zone: 'y', base: leader.view.evacuations.get('y')?.revision ?? 0, at: 0,
	}));
	await order('evacuate-zone');
	const acknowledgedAt = clock.now();
	const sentAt: number[] = [];
	port.onAttempt = attempt => {
		if (attempt.terms.serverId === 'bb') {
			sentAt.push(clock.now() - acknowledgedAt);
		}

		scriptedAnswers.good(attempt);
	};

	const sendFor = async (ms: number) => {
		for (const end = clock.now() + ms; clock.now() < end;) {
			send('/old/x');
			await clock.advance(50); // eslint-disable-line no-await-in-loop -- requests follow each other
		}
	};

	await sendFor(isCut ? 8000 : 1000);
	// A host that is cut off sends requests there until its lease ends.
	expect(Math.max(0, ...sentAt)).toBeLessThanOrEqual(isCut ? 5000 : 100);
	expect(sentAt.length > 10).toBe(isCut);
	if (!isCut) {
		expect(counters.gauges.get('forward.evacuated-zones')).toBe(1);
		await order('end-evacuation');
		await sendFor(1000);
		expect(counters.gauges.get('forward.evacuated-zones')).toBe(0);
		expect(sentAt.length).toBeGreaterThan(5);
	}

	edge.dispose();
	cluster.dispose();
});

// Guards against requests that wait for a connection to a server of an evacuated zone until one is free.
it('refuses the requests that wait for a connection as soon as all servers are in evacuated zones', async () => {
	const {cluster, clock, edge, leader, send, port} = await start(1);
	cluster.log.commandVersion = 3;
	port.onAttempt = undefined;
	const sent = Array.from({length: 11}, () => send('/old/x'));
	const running = port.attempts.length;
	expect(running).toBeLessThan(sent.length);
	await cluster.settle(leader.propose({
		type: 'evacuate-zone', zone: 'z', base: 0, at: 0,
	}));
	await clock.advance(100);
	expect(sent.map(item => item.sink.refusal?.code)).toEqual(sent.map((_, index) => index < running ? undefined : 'zone-evacuated'));
	edge.dispose();
	cluster.dispose();
});

// Guards against a host that does not limit its requests to a cold server, one that sends its share before others have learnt of it,
// and limits where the settings, the configuration or a member of the control group of an earlier release do not know them.
it.each([
	{
		name: 'a limit', version: 3, coldBounds: {overrun: 1.5, slack: 5}, coldPerSecond: 17, least: 6, most: 7,
	},
	{
		name: 'members of an earlier release', version: 2, coldBounds: {overrun: 1.5, slack: 5}, coldPerSecond: 17, least: 40, most: 40,
	},
	{
		name: 'no bounds in the settings', version: 3, coldBounds: undefined, coldPerSecond: 17, least: 40, most: 40,
	},
	{
		name: 'no rate in the configuration', version: 3, coldBounds: {overrun: 1.5, slack: 5}, coldPerSecond: undefined, least: 40, most: 40,
	},
])('sends $least to $most of 40 requests in a second to a cold server with $name', async ({version, coldBounds, coldPerSecond, least, most}) => {
	const {cluster, clock, edge, leader, send, counters} = await start(3, {startupMs: 2500, coldBounds});
	cluster.log.commandVersion = version;
	const {cfg} = testTable([testRoute({name: '/old/', pathPrefix: '/old/'})]);
	const source = JSON.stringify({...cfg, version: 2, services: cfg.services.map(service => ({...service, coldPerSecond}))});
	await cluster.settle(leader.propose({type: 'apply-routing', version: 2, source}));
	await cluster.settle(leader.propose({type: 'backend-joined', server: testBackend('a', {incarnation: 2, coldMs: 2500}), at: clock.wallTime()}));
	await clock.advance(500);
	const isLimited = most < 40;
	expect(statusOf(send('/old/x'))).toBe(isLimited ? 503 : 200);
	await clock.advance(4000);
	const sent: Sent[] = [];
	for (let count = 0; count < 40; count++) {
		sent.push(send('/old/x'));
		await clock.advance(25); // eslint-disable-line no-await-in-loop -- requests follow each other
	}

	const answered = sent.filter(item => statusOf(item) === 200).length;
	expect(answered).toBeGreaterThanOrEqual(least);
	expect(answered).toBeLessThanOrEqual(most);
	expect(counters.sum('forward.cold-skipped') > 0).toBe(isLimited);
	edge.dispose();
	cluster.dispose();
});

// Guards against more requests to a cold server than it bears when the time of day of a host is set forward.
it('keeps to its share of a cold server when the time of day is set forward', async () => {
	const {cluster, clock, hostClock, edge, leader, send} = await start(3, {startupMs: 2500, coldBounds: {overrun: 1.5, slack: 5}});
	cluster.log.commandVersion = 3;
	const {cfg} = testTable([testRoute({name: '/old/', pathPrefix: '/old/'})]);
	const source = JSON.stringify({...cfg, version: 2, services: cfg.services.map(service => ({...service, coldPerSecond: 17}))});
	await cluster.settle(leader.propose({type: 'apply-routing', version: 2, source}));
	await cluster.settle(leader.propose({type: 'backend-joined', server: testBackend('a', {incarnation: 2, coldMs: 2500}), at: clock.wallTime()}));
	await clock.advance(500);
	hostClock.stall(3000);
	const early = send('/old/x');
	await clock.advance(4000);
	const first = send('/old/x');
	hostClock.stall(300);
	const second = send('/old/x');
	await clock.advance(100);
	expect([early, first, second].map(item => statusOf(item))).toEqual([503, 200, 503]);
	edge.dispose();
	cluster.dispose();
});
