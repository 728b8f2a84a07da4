import {afterEach, expect, it} from 'vitest';
import {LogCluster, type LogClusterOptions} from '../../testing/log-cluster.js';
import {RegionMajorityRule} from './region-majority-rule.js';

let cluster: LogCluster;

function create(seed: number, options?: LogClusterOptions): LogCluster {
	cluster = new LogCluster(seed, options);
	return cluster;
}

afterEach(() => {
	cluster.dispose();
});

// Guards against a group that cannot be created, or that commits commands on only one member.
it.each([[3, 1], [5, 2], [7, 3]])('creates a group of %i voters and applies commands on all of them', async (size, seed) => {
	create(seed, {hosts: ['a', 'b', 'c', 'd', 'e', 'f', 'g'].slice(0, size)});
	await cluster.bootstrap();
	expect(await cluster.propose('x')).toBeTypeOf('number');
	expect(await cluster.propose('y')).toBeTypeOf('number');
	await cluster.clock.advance(200);
	for (const name of cluster.names) {
		expect(cluster.appliedAt(name)).toEqual(['x', 'y']);
	}
});

// Guards against an election that takes longer than the guaranteed 3 s.
it.each([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])('elects a new leader within 3 s of losing the old one, seed %i', async seed => {
	create(seed);
	const old = await cluster.bootstrap();
	await cluster.propose('x');
	cluster.kill(old.name);
	const next = await cluster.waitForLeader(3000);
	expect(next.name).not.toBe(old.name);
	expect(await cluster.propose('y')).toBeTypeOf('number');
	expect(cluster.appliedAt(next.name)).toEqual(['x', 'y']);
	await cluster.start(old.name);
	await cluster.clock.advance(1000);
	expect(cluster.appliedAt(old.name)).toEqual(['x', 'y']);
});

/** Hosts that are not the leader. */
function followers(): string[] {
	return cluster.names.filter(name => name !== cluster.leader?.name);
}

// Guards against a partitioned leader that keeps its lease or commits while another leader is elected.
it('gives an isolated leader no lease and no commits for 10 minutes', async () => {
	create(5);
	const old = await cluster.bootstrap();
	await cluster.propose('x');
	const {member} = old;
	const committed = member!.commitIndex;
	cluster.network.partition([old.name], followers());
	const lost = cluster.outcomeOf(async () => member!.propose('lost'));
	await cluster.clock.advance(600);
	expect(member!.hasLease()).toBe(false);
	for (let second = 0; second < 600; second++) {
		await cluster.clock.advance(1000); // eslint-disable-line no-await-in-loop -- time passes in steps
		expect(member!.hasLease()).toBe(false);
	}

	expect(await lost).toBe('proposal-unknown');
	expect(member!.commitIndex).toBe(committed);
	expect(member!.term).toBeLessThan(cluster.leader!.member!.term);
	expect(await cluster.propose('refused', old.name)).toBe('not-leader');
	expect(cluster.leader!.member!.hasLease()).toBe(true);
	const {term} = cluster.leader!.member!;
	await cluster.propose('y');
	cluster.network.heal();
	await cluster.clock.advance(2000);
	expect(cluster.appliedAt(old.name)).toEqual(['x', 'y']);
	expect(cluster.leader!.member!.term).toBe(term);
});

// Guards against a one-way link that keeps a failed leader in its role, or that deposes a working leader repeatedly.
it.each([
	['the leader can send but not receive', true, false],
	['the leader can receive but not send', false, true],
])('elects a new leader within 3 s when %s', async (_, isInboundCut, isOutboundCut) => {
	create(6);
	const old = await cluster.bootstrap();
	for (const name of followers()) {
		if (isInboundCut) {
			cluster.network.cut(name, old.name);
		}

		if (isOutboundCut) {
			cluster.network.cut(old.name, name);
		}
	}

	const isReplaced = () => !cluster.hosts.get(old.name)!.member!.hasLease() && cluster.leader?.name !== old.name && cluster.leader?.member?.hasLease() === true;
	expect(await cluster.clock.advanceUntil(isReplaced, 3000)).toBe(true);
	const {term} = cluster.leader!.member!;
	await cluster.clock.advance(60_000);
	expect(cluster.leader!.member!.term).toBe(term);
	expect(await cluster.propose('x')).toBeTypeOf('number');
});

// Guards against a follower with a one-way link that deposes a working leader by starting elections.
it('keeps its leader when one follower receives nothing', async () => {
	create(7);
	const leader = await cluster.bootstrap();
	const {term} = leader.member!;
	const [follower] = followers() as [string];
	for (const name of cluster.names.filter(other => other !== follower)) {
		cluster.network.cut(name, follower);
	}

	await cluster.clock.advance(30_000);
	cluster.network.heal();
	await cluster.clock.advance(3000);
	expect(leader.member!.role).toBe('leader');
	expect(leader.member!.term).toBe(term);
});

// Guards against commands that are lost, duplicated or reordered because the network does so with messages.
it('applies each command once and in the same order over an unreliable network', async () => {
	create(8);
	await cluster.bootstrap();
	Object.assign(cluster.network.faults, {lossRate: 0.1, duplicateRate: 0.3, maxDelayMs: 40});
	const commands = Array.from({length: 60}, (_, position) => `command ${position}`);
	const done = new Set<string>();
	for (const command of commands) {
		while (!done.has(command)) {
			// eslint-disable-next-line no-await-in-loop -- one after another
			const outcome = await cluster.propose(command);
			if (outcome === 'not-leader' || outcome === 'no-leader') {
				await cluster.clock.advance(100); // eslint-disable-line no-await-in-loop -- as above
			} else {
				done.add(command);
			}
		}
	}

	Object.assign(cluster.network.faults, {lossRate: 0, duplicateRate: 0, maxDelayMs: 1});
	await cluster.clock.advance(3000);
	const [first, ...others] = cluster.names.map(name => cluster.appliedAt(name)) as [string[], ...string[][]];
	expect(commands.filter(command => first.includes(command)).length).toBeGreaterThan(50);
	expect(new Set(first).size).toBe(first.length);
	for (const other of others) {
		expect(other).toEqual(first);
	}
});

// Guards against one sync per proposal, which would limit the throughput to the disk's sync rate.
it('batches proposals that arrive during a sync into the next sync', async () => {
	create(9);
	const leader = await cluster.bootstrap();
	for (const host of cluster.hosts.values()) {
		host.disk.syncDelayMs = 10;
	}

	const before = leader.disk.syncs;
	const outcomes: Array<Promise<number>> = [];
	for (let count = 0; count < 100; count++) {
		outcomes.push(leader.member!.propose(`command ${count}`));
		await cluster.clock.advance(1); // eslint-disable-line no-await-in-loop -- arrivals over time
	}

	await cluster.clock.advance(100);
	expect(await Promise.all(outcomes)).toHaveLength(100);
	expect(leader.disk.syncs - before).toBeLessThan(15);
});

// Guards against a planned stop that leaves the group without a leader for an election timeout.
it('transfers leadership at once and keeps all commands', async () => {
	create(10);
	const old = await cluster.bootstrap();
	await cluster.propose('x');
	old.member!.transferLeadership();
	expect(old.member!.hasLease()).toBe(false);
	expect(await cluster.clock.advanceUntil(() => cluster.leader?.name !== old.name && cluster.leader?.member?.hasLease() === true, 100)).toBe(true);
	expect(await cluster.propose('y')).toBeTypeOf('number');
	await cluster.clock.advance(200);
	expect(cluster.appliedAt(old.name)).toEqual(['x', 'y']);
});

// Guards against a member that continues after a failed sync, when it is unknown what is durable.
it('stops permanently after a failed sync', async () => {
	create(11);
	const leader = await cluster.bootstrap();
	leader.disk.failSync();
	expect(await cluster.propose('x')).toBe('proposal-unknown');
	expect(leader.fatal).toBe('storage-failed');
	expect(leader.member!.hasLease()).toBe(false);
	expect(leader.member!.role).toBe('follower');
	const next = await cluster.waitForLeader(3000);
	expect(next.name).not.toBe(leader.name);
});

// Guards against a commit that only one of two regions has acknowledged.
it('commits only with a majority in each region', async () => {
	create(12, {hosts: ['a1', 'a2', 'a3', 'b1', 'b2', 'b3'], rule: new RegionMajorityRule(), regionOf: host => host[0]!});
	const leader = await cluster.bootstrap();
	expect(await cluster.propose('x')).toBeTypeOf('number');
	const remote = cluster.names.filter(name => !name.startsWith(leader.name[0]!));
	cluster.network.partition(cluster.names.filter(name => !remote.includes(name)), remote);
	expect(await cluster.propose('y')).toBe('proposal-unknown');
	cluster.network.heal();
	await cluster.waitForLeader();
	expect(await cluster.propose('z')).toBeTypeOf('number');
});

// Guards against unbounded memory growth of a leader without a quorum.
it('refuses proposals while too many are pending', async () => {
	create(13);
	const leader = await cluster.bootstrap();
	cluster.network.partition([leader.name], followers());
	const outcomes = Array.from({length: 20_001}, async () => cluster.outcomeOf(async () => leader.member!.propose('x')));
	expect(await outcomes.at(-1)).toBe('log-busy');
	await cluster.clock.advance(2000);
	expect(await outcomes[0]).toBe('proposal-unknown');
});

// Guards against a process that ends because the disk that refused a write also refuses to close the file.
it('stops, and restarts from its disk, when its storage cannot be closed', async () => {
	let faulty: string | undefined;
	create(3, {
		wrapStorage: (host, storage) => ({
			load: async () => storage.load(),
			initialize: async identity => storage.initialize(identity),
			saveSnapshot: async snapshot => storage.saveSnapshot(snapshot),
			readSnapshot: async () => storage.readSnapshot(),
			discardUpTo: async index => storage.discardUpTo(index),
			async write(batch) {
				if (host === faulty) {
					throw new Error('EIO, write');
				}

				return storage.write(batch);
			},
			async close() {
				await storage.close();
				if (host === faulty) {
					throw new Error('EIO, close');
				}
			},
		}),
	});
	const {name} = await cluster.bootstrap();
	faulty = name;
	const lost = cluster.outcomeOf(async () => cluster.host(name).member!.propose('x'));
	await cluster.clock.advance(100);
	expect(cluster.host(name).fatal).toBe('storage-failed');
	await expect(cluster.host(name).member!.close()).resolves.toBeUndefined();
	faulty = undefined;
	cluster.kill(name);
	await cluster.start(name);
	await cluster.waitForLeader(3000);
	expect(await lost).toBeTypeOf('string');
	expect(await cluster.propose('y')).toBeTypeOf('number');
});
