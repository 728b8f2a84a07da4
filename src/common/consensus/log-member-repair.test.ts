import {afterEach, expect, it} from 'vitest';
import {LogCluster, type LogClusterOptions} from '../../testing/log-cluster.js';
import {type LogHost} from '../../testing/log-host.js';

let cluster: LogCluster;

function create(seed: number, options?: LogClusterOptions): LogCluster {
	cluster = new LogCluster(seed, options);
	return cluster;
}

afterEach(() => {
	cluster.dispose();
});

/** Returns a host that is not the leader. */
function follower(except?: LogHost): LogHost {
	return [...cluster.hosts.values()].find(host => host !== cluster.leader && host !== except)!;
}

async function proposeMany(count: number): Promise<string[]> {
	const commands = Array.from({length: count}, (_, position) => `command ${position}`);
	for (const command of commands) {
		expect(await cluster.propose(command)).toBeTypeOf('number'); // eslint-disable-line no-await-in-loop -- one after another
	}

	return commands;
}

/** Wipes the disk of a host and restarts it. @returns the earlier identity. */
async function restartWithEmptyDisk(host: LogHost): Promise<string> {
	const {identity} = host.member!;
	cluster.kill(host.name);
	host.disk.wipe();
	await cluster.start(host.name);
	return identity;
}

function isRepaired(host: LogHost): boolean {
	return cluster.leader?.member?.isMembershipCommitted === true && cluster.leader.member.members.some(member => member.id === host.member?.identity && member.isVoter);
}

// Guards against a lost write when a second host fails as soon as the first one is repaired.
it.each([1, 2, 3, 4, 5])('loses no command when a second host fails right after a repair, seed %i', async seed => {
	create(seed);
	const leader = await cluster.bootstrap();
	const first = follower();
	const second = follower(first);
	cluster.network.partition([second.name], [leader.name, first.name]);
	const commands = await proposeMany(20);
	cluster.network.heal();
	await restartWithEmptyDisk(first);
	expect(await cluster.clock.advanceUntil(() => isRepaired(first), 10_000)).toBe(true);
	cluster.kill(leader.name);
	leader.disk.wipe();
	await cluster.waitForLeader();
	expect(cluster.appliedAt(cluster.leader!.name)).toEqual(commands);
});

// Guards against a host with an empty disk that votes or counts towards commits under its earlier identity.
it('gives a host with an empty disk a new identity that starts as a learner', async () => {
	create(6);
	await cluster.bootstrap();
	const commands = await proposeMany(5);
	const host = follower();
	const roles: string[] = [];
	const earlier = await restartWithEmptyDisk(host);
	expect(host.member!.identity).not.toBe(earlier);
	expect(host.member!.role).toBe('learner');
	host.member!.onRoleChange(role => roles.push(role));
	expect(await cluster.clock.advanceUntil(() => isRepaired(host), 10_000)).toBe(true);
	expect(cluster.leader!.member!.members.map(member => member.id)).not.toContain(earlier);
	expect(cluster.leader!.member!.members.filter(member => member.isVoter)).toHaveLength(3);
	await cluster.clock.advance(500);
	expect(roles).toEqual(['follower']);
	expect(cluster.appliedAt(host.name)).toEqual(commands);
});

// Guards against a new identity that answers requests for the earlier identity.
it('refuses requests for the earlier identity', async () => {
	create(7);
	await cluster.bootstrap();
	const host = follower();
	const earlier = await restartWithEmptyDisk(host);
	const {transport} = cluster.leader!;
	const call = cluster.outcomeOf(async () => transport!.call(host.name, {name: 'consensus.test.vote'}, {groupId: 'any', body: {to: earlier}}, 500));
	await cluster.clock.advance(100);
	expect(await call).toBe('wrong-member');
});

// Guards against a data folder restored from an old copy that lacks entries the member has confirmed.
it('stops a member whose folder was replaced by an old copy', async () => {
	create(8);
	await cluster.bootstrap();
	await proposeMany(3);
	const host = follower();
	const image = host.disk.image();
	await proposeMany(3);
	await cluster.clock.advance(500);
	cluster.kill(host.name);
	host.disk.restoreImage(image);
	await cluster.start(host.name);
	await cluster.clock.advance(1000);
	expect(host.fatal).toBe('log-lost');
});

// Guards against a member that serves damaged entries or votes on the basis of them.
it('refuses to start on a log that is damaged before its tail', async () => {
	create(9);
	await cluster.bootstrap();
	await proposeMany(5);
	const host = follower();
	cluster.kill(host.name, false);
	const [name] = [...host.disk.image().keys()].sort() as [string];
	host.disk.damage(name, 200);
	expect(await cluster.start(host.name)).toMatchObject({code: 'log-corrupt'});
});

// Guards against a second group that is created while one exists, if all hosts keep the bootstrap flag.
it('creates no new group while a voter belongs to one', async () => {
	create(10);
	await cluster.bootstrap();
	await proposeMany(2);
	const survivor = cluster.leader!;
	for (const host of cluster.hosts.values()) {
		if (host !== survivor) {
			cluster.kill(host.name);
			host.disk.wipe();
		}
	}

	await Promise.all(cluster.names.filter(name => name !== survivor.name).map(async name => cluster.launch(name)));
	await cluster.clock.advance(20_000);
	expect(cluster.members.filter(member => member.hasLease())).toEqual([]);
});

it('creates no group without the bootstrap flag', async () => {
	create(11);
	await Promise.all(cluster.names.map(async name => cluster.launch(name, name !== 'b')));
	await cluster.clock.advance(10_000);
	expect(cluster.members.map(member => member.role)).toEqual(['learner', 'learner', 'learner']);
});

// Guards against a member that needs compacted entries and never catches up, and against a disk that fills up.
it.each([
	['number', {snapshotInterval: 20, retainedEntries: 5}],
	['size', {snapshotSize: 1000, retainedSize: 300}],
])('brings a member up to date with a snapshot and removes old segments, limited by %s', async (_, options) => {
	create(12, {...options, segmentSize: 1000});
	const leader = await cluster.bootstrap();
	const host = follower();
	cluster.kill(host.name);
	const commands = await proposeMany(150);
	expect(leader.member!.entriesAfter(1, 10)).toBeUndefined();
	expect([...leader.disk.image().keys()].length).toBeLessThan(10);
	await cluster.start(host.name);
	await cluster.clock.advance(2000);
	expect(cluster.appliedAt(host.name)).toEqual(commands);
	cluster.kill(host.name);
	await cluster.start(host.name);
	await cluster.clock.advance(1000);
	expect(cluster.appliedAt(host.name)).toEqual(commands);
});

// Guards against a snapshot that is assembled wrongly when parts are lost or duplicated.
it('brings a member up to date with a large snapshot over an unreliable network', async () => {
	create(16, {snapshotInterval: 20, retainedEntries: 5});
	await cluster.bootstrap();
	const host = follower();
	cluster.kill(host.name);
	const padding = 'x'.repeat(30_000);
	for (let count = 0; count < 40; count++) {
		expect(await cluster.propose(`${count} ${padding}`)).toBeTypeOf('number'); // eslint-disable-line no-await-in-loop -- one after another
	}

	Object.assign(cluster.network.faults, {lossRate: 0.05, duplicateRate: 0.3, maxDelayMs: 30});
	await cluster.start(host.name);
	expect(await cluster.clock.advanceUntil(() => cluster.appliedAt(host.name).length === 40, 120_000)).toBe(true);
	expect(cluster.appliedAt(host.name).map(command => command.split(' ')[0])).toEqual(Array.from({length: 40}, (_, position) => String(position)));
	const {status} = cluster.leader!.member!;
	expect(status.members.map(member => member.host)).toEqual(['a', 'b', 'c']);
});

// Guards against readers of the log that miss entries or receive uncommitted ones.
it('serves the entries after an index', async () => {
	create(13, {snapshotInterval: 30, retainedEntries: 20});
	const leader = await cluster.bootstrap();
	await proposeMany(100);
	const {appliedIndex} = leader.member!;
	expect(leader.member!.entriesAfter(appliedIndex, 5)).toEqual([]);
	expect(leader.member!.entriesAfter(appliedIndex - 3, 2)!.map(({index, command}) => [index, command])).toEqual([[appliedIndex - 2, 'command 97'], [appliedIndex - 1, 'command 98']]);
	expect(leader.member!.entriesAfter(appliedIndex - 15, 100)).toHaveLength(15);
	expect(leader.member!.entriesAfter(appliedIndex - 80, 100)).toBeUndefined();
});

function killHost(host: LogHost): () => void {
	return () => {
		cluster.kill(host.name);
	};
}

// Guards against acknowledged commands that are lost when the leader or a follower crashes at any disk operation.
it('keeps acknowledged commands when a host crashes at any disk operation', async () => {
	create(14, {snapshotInterval: 10, retainedEntries: 3, segmentSize: 600});
	await cluster.bootstrap();
	const acknowledged: string[] = [];
	for (let operation = 1; operation <= 30; operation++) {
		/* eslint-disable no-await-in-loop -- one crash after another */
		const host = operation % 2 === 0 ? cluster.leader! : follower();
		host.disk.crashAfter(operation, killHost(host));
		for (let count = 0; count < 12; count++) {
			const command = `command ${operation} ${count}`;
			if (typeof await cluster.propose(command) === 'number') {
				acknowledged.push(command);
			}
		}

		if (host.isUp) {
			cluster.kill(host.name);
		}

		await cluster.start(host.name);
		await cluster.waitForLeader();
		/* eslint-enable no-await-in-loop */
	}

	await cluster.clock.advance(2000);
	expect(acknowledged.length).toBeGreaterThan(200);
	for (const name of cluster.names) {
		expect(new Set(cluster.appliedAt(name))).toEqual(new Set([...acknowledged, ...cluster.appliedAt(name)]));
	}
});

// Guards against a repair that never completes because the learner always lags slightly behind the commit index.
it('admits a slow learner under constant load', async () => {
	create(15);
	const leader = await cluster.bootstrap();
	const host = follower();
	await restartWithEmptyDisk(host);
	host.disk.syncDelayMs = 80;
	let count = 0;
	const isDone = () => {
		void cluster.outcomeOf(async () => leader.member!.propose(`load ${count++}`));
		return isRepaired(host);
	};

	expect(await cluster.clock.advanceUntil(isDone, 20_000, 5)).toBe(true);
	expect(count).toBeGreaterThan(100);
});

// Guards against a host that joins the group without being configured as a voter.
it('admits no host that is not configured as a voter', async () => {
	create(17);
	const leader = await cluster.bootstrap();
	const outsider = cluster.network.attach('x');
	const member = {
		id: 'x-1', host: 'x', region: 'r', isVoter: true,
	};
	const reply = cluster.outcomeOf(async () => outsider.call(leader.name, {name: 'consensus.test.hello'}, {member}, 500));
	await cluster.clock.advance(2000);
	expect(await reply).toMatchObject({member: {host: leader.name}});
	expect(leader.member!.members.map(({host}) => host)).toEqual(['a', 'b', 'c']);
});

// Guards against a membership change that is appended while another one is uncommitted, or by a member that is not the leader.
it('removes a host, one change at a time', async () => {
	create(18);
	const leader = await cluster.bootstrap();
	const removed = follower();
	expect(removed.member!.removeHost('a')).toBe(false);
	expect(leader.member!.removeHost(removed.name)).toBe(true);
	expect(leader.member!.removeHost(leader.name)).toBe(false);
	await cluster.clock.advance(1000);
	expect(leader.member!.members).toHaveLength(2);
	cluster.kill(removed.name);
	expect(await cluster.propose('x')).toBeTypeOf('number');
});
