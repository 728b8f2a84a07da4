import {expect, it} from 'vitest';
import {
	ControlCluster, idleLoad, testDocument, testServer,
} from '../../testing/control-cluster.js';
import {type BackendServer} from './backend-server.js';
import {type ReceivedLoad} from './load-reporter.js';

/** Announces a backend server to a host every second until `stop` is called. */
function announceFrom(cluster: ControlCluster, host: string, server: BackendServer): {results: string[]; stop(): void} {
	let isStopped = false;
	const results: string[] = [];
	const announce = async () => {
		// A daemon that is down does not answer announcements.
		if (isStopped || !cluster.daemons.has(host)) {
			return;
		}

		cluster.clock.setTimer(1000, announce);
		const result = await cluster.daemon(host).node.registrar.announce(server, {...idleLoad, running: server.incarnation});
		results.push(result.status === 'refused' ? result.code : result.status);
	};

	void announce();
	return {
		stop() {
			isStopped = true;
		},
		results,
	};
}

const incarnationAt = (cluster: ControlCluster, host: string) => cluster.daemon(host).follower.view.backendServers.get('b1')?.incarnation;
const joins = (cluster: ControlCluster) => cluster.log.entries.filter(entry => entry.command?.type === 'backend-joined').length;

// Guards against a log that grows with every announcement.
it('proposes a join only when something has changed', async () => {
	const cluster = await ControlCluster.start(['e1']);
	const {stop, results} = announceFrom(cluster, 'e1', testServer('b1'));
	await cluster.clock.advance(10_000);
	expect([incarnationAt(cluster, 'v3'), joins(cluster), new Set(results)]).toEqual([1, 1, new Set(['accepted'])]);
	stop();
	await cluster.settle(cluster.daemon('e1').node.registrar.announce({...testServer('b1'), capacity: 64}, idleLoad));
	expect(joins(cluster)).toBe(2);
});

// Guards against a late, relayed announcement that returns a removed backend server to the directory through any host.
it('refuses a late announcement of a backend server that has left, returned and left', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	const [home, other] = [cluster.daemon('e1').node.registrar, cluster.daemon('e2').node.registrar];
	for (const incarnation of [1, 2]) {
		/* eslint-disable no-await-in-loop -- steps in order */
		expect(await cluster.settle(home.announce(testServer('b1', incarnation), idleLoad))).toEqual({status: 'accepted'});
		expect(await cluster.settle(home.leave({id: 'b1', incarnation}))).toMatchObject({status: 'accepted'});
		/* eslint-enable no-await-in-loop */
	}

	// Immediately, before the other daemon has applied the leave, and again 2 s later.
	for (const delay of [0, 2000]) {
		// eslint-disable-next-line no-await-in-loop -- steps in order
		await cluster.clock.advance(delay);
		// eslint-disable-next-line no-await-in-loop -- steps in order
		const late = await cluster.settle(Promise.all([home, other].map(async registrar => registrar.announce(testServer('b1', 2), idleLoad))));
		expect(late).toEqual(Array.from({length: 2}, () => ({status: 'refused', code: 'incarnation-gone'})));
	}

	await cluster.clock.advance(2000);
	expect([...cluster.daemons.keys()].map(host => incarnationAt(cluster, host))).toEqual(Array.from({length: 5}, () => undefined));
	expect([home.loads(), other.loads()]).toEqual([[], []]);
	expect(await cluster.settle(other.announce(testServer('b1', 3), idleLoad))).toEqual({status: 'accepted'});
});

// Guards against the expiry of a healthy backend server because one daemon stalls or cannot reach it.
it('does not expire a backend server that one observer only suspects', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	const {stop} = announceFrom(cluster, 'e1', testServer('b1'));
	await cluster.clock.advance(3000);
	stop();
	// The home host receives no announcement for 8 s and its own requests fail, but the probes of other hosts succeed.
	for (let second = 0; second < 8; second++) {
		cluster.daemon('e1').node.observer.reportFailure({id: 'b1', incarnation: 1});
		// eslint-disable-next-line no-await-in-loop -- time advances step by step
		await cluster.clock.advance(1000);
	}

	expect(incarnationAt(cluster, 'v1')).toBe(1);
	const {results} = announceFrom(cluster, 'e2', testServer('b1'));
	await cluster.clock.advance(10_000);
	expect([incarnationAt(cluster, 'v1'), new Set(results)]).toEqual([1, new Set(['accepted'])]);
});

// Guards against an expiry caused by failures that other hosts report while the home host still receives announcements.
it('does not expire a backend server that announces itself, whatever other hosts report', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2', 'e3']);
	announceFrom(cluster, 'e1', testServer('b1'));
	for (let second = 0; second < 12; second++) {
		for (const host of ['e2', 'e3']) {
			cluster.daemon(host).node.observer.reportFailure({id: 'b1', incarnation: 1});
		}

		// eslint-disable-next-line no-await-in-loop -- time advances step by step
		await cluster.clock.advance(1000);
	}

	expect(incarnationAt(cluster, 'v1')).toBe(1);
});

// Guards against dead backend servers that stay in the directory.
it.each<[string, {isDead: boolean; isHomeStopped: boolean}, [number, number]]>([
	['within 6.5 s with a second observer', {isDead: true, isHomeStopped: false}, [3000, 6500]],
	['after 10 s without a second observer', {isDead: false, isHomeStopped: false}, [9000, 11_500]],
	['after 10 s when its home host is down too', {isDead: true, isHomeStopped: true}, [9000, 11_500]],
])('expires a silent backend server %s', async (_, {isDead, isHomeStopped}, [least, most]) => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	const {stop} = announceFrom(cluster, 'e1', testServer('b1'));
	await cluster.clock.advance(3000);
	const start = cluster.clock.now();
	stop();
	if (isDead) {
		cluster.deadBackends.add('b1');
	}

	if (isHomeStopped) {
		cluster.stop('e1');
	}

	await cluster.clock.advanceUntil(() => incarnationAt(cluster, 'v1') === undefined, 20_000, 50);
	expect(cluster.clock.now() - start).toBeGreaterThanOrEqual(least);
	expect(cluster.clock.now() - start).toBeLessThanOrEqual(most);
	expect(cluster.log.entries.at(-1)!.command!.type).toMatch(/-expired$/v);
});

// Guards against a new leader that treats backend servers as silent because it has not received their announcements yet.
it('keeps backend servers when the leader changes', async () => {
	const cluster = await ControlCluster.start(['e1']);
	announceFrom(cluster, 'e1', testServer('b1'));
	await cluster.clock.advance(3000);
	cluster.log.elect(undefined);
	await cluster.clock.advance(3000);
	// The first leader returns with stale state and receives nothing from the home host at first.
	for (const voter of ['v3', 'v1']) {
		cluster.isolate('e1');
		cluster.log.elect(voter);
		/* eslint-disable no-await-in-loop -- leaders follow each other */
		await cluster.clock.advance(1000);
		cluster.network.heal();
		await cluster.clock.advance(12_000);
		/* eslint-enable no-await-in-loop */
		expect([incarnationAt(cluster, 'v2'), joins(cluster)]).toEqual([1, 1]);
	}
});

// Guards against a home host that accepts announcements while it cannot report them to the leader.
it('refuses announcements while it has no lease, so that backend servers choose another home host', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	const {results, stop} = announceFrom(cluster, 'e1', testServer('b1'));
	await cluster.clock.advance(2000);
	cluster.isolate('e1');
	await cluster.clock.advance(5000);
	stop();
	expect(results.at(-1)).toBe('home-without-lease');
	announceFrom(cluster, 'e2', testServer('b1'));
	await cluster.clock.advance(10_000);
	expect([incarnationAt(cluster, 'v1'), joins(cluster)]).toEqual([1, 1]);
});

// Guards against loads that do not arrive, are attributed to another incarnation, or appear newer than they are.
it('sends every daemon the loads of its subset with their age', async () => {
	const cluster = await ControlCluster.start(['e1', 'e2']);
	await cluster.settle(cluster.daemon('e1').follower.propose({type: 'submit-document', changeId: 'c1', document: testDocument('chat')}));
	const received: ReceivedLoad[] = [];
	const {loads} = cluster.daemon('e2').node;
	loads.onLoads(batch => {
		received.push(...batch);
	});
	const first = announceFrom(cluster, 'e1', testServer('b1', 1));
	announceFrom(cluster, 'v2', testServer('other', 1, 'zone-a', ['unlisted@1']));
	await cluster.clock.advance(6000);
	expect(loads.subset).toEqual(new Set(['b1']));
	expect(received.length).toBeGreaterThanOrEqual(4);
	expect(received.at(-1)).toMatchObject({id: 'b1', incarnation: 1, running: 1});
	expect(cluster.clock.now() - received.at(-1)!.at).toBeLessThan(2600);
	first.stop();
	announceFrom(cluster, 'e1', testServer('b1', 2));
	await cluster.clock.advance(3000);
	expect(received.at(-1)).toMatchObject({incarnation: 2, running: 2});
});

// Guards against a leader that expires hosts after its own stall, before it has read their renewals.
it('expires nothing after a stall of the leader', async () => {
	const cluster = await ControlCluster.start(['e1']);
	announceFrom(cluster, 'e1', testServer('b1'));
	// The next sweep of the leader runs before the next renewals arrive.
	await cluster.clock.advance(3100);
	cluster.daemon('v1').clock.stall(15_000);
	await cluster.clock.advance(3000);
	expect(cluster.log.entries.filter(entry => entry.command?.type.endsWith('-expired'))).toEqual([]);
	cluster.stop('e1');
	await cluster.clock.advance(15_000);
	expect(cluster.log.entries.filter(entry => entry.command?.type.endsWith('-expired'))).toHaveLength(2);
});
