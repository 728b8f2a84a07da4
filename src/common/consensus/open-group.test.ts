import {afterEach, expect, it} from 'vitest';
import {LogCluster} from '../../testing/log-cluster.js';
import {lostVoterMs} from './consensus-times.js';

const seeds = ['a', 'b', 'c'];
let cluster: LogCluster;

afterEach(() => {
	cluster.dispose();
});

function votersAt(name: string): string[] {
	return (cluster.host(name).member?.members ?? []).filter(({isVoter}) => isVoter).map(({host}) => host).sort();
}

async function startAll(names: readonly string[]): Promise<void> {
	await Promise.all(names.map(async name => cluster.launch(name)));
	await cluster.waitForLeader();
	await waitForVoters(names);
}

async function waitForVoters(names: readonly string[], limitMs = 10_000): Promise<void> {
	const expected = [...names].sort().join(' ');
	await cluster.clock.advanceUntil(() => cluster.leader !== undefined && votersAt(cluster.leader.name).join(' ') === expected, limitMs);
	expect(votersAt(cluster.leader!.name)).toEqual([...names].sort());
}

// Guards against control hosts other than the seeds that never become voters, so that the loss of two seeds would stop the system.
it.each([1, 2, 3])('admits hosts that are not seeds as voters, seed %i', async seed => {
	cluster = new LogCluster(seed, {hosts: ['a', 'b', 'c', 'd', 'e'], seeds});
	await startAll(['a', 'b', 'c', 'd', 'e']);
});

// Guards against a second group that is created by hosts with empty disks that start later.
it('creates no group from hosts without the bootstrap flag', async () => {
	cluster = new LogCluster(4, {hosts: seeds, seeds});
	await Promise.all(seeds.map(async name => cluster.launch(name, false)));
	expect(await cluster.clock.advanceUntil(() => cluster.leader !== undefined, 10_000)).toBe(false);
});

// Guards against a group that keeps a permanently lost voter and therefore tolerates one failure less.
it.each([5, 6, 7])('replaces a lost voter with a host that joins later, seed %i', async seed => {
	cluster = new LogCluster(seed, {hosts: ['a', 'b', 'c', 'd', 'e', 'f'], seeds});
	await startAll(['a', 'b', 'c', 'd', 'e']);
	const lost = cluster.names.find(name => name !== cluster.leader!.name && name !== 'f')!;
	cluster.kill(lost);
	await cluster.clock.advance(lostVoterMs * 2);
	expect(votersAt(cluster.leader!.name)).toContain(lost);
	await cluster.start('f', false);
	await waitForVoters(cluster.names.filter(name => name !== lost));
	expect(await cluster.propose('after the replacement')).toBeTypeOf('number');
});

// Guards against a group that shrinks while hosts are only temporarily down.
it('keeps unresponsive voters while no host replaces them', async () => {
	cluster = new LogCluster(8, {hosts: ['a', 'b', 'c', 'd', 'e'], seeds});
	await startAll(['a', 'b', 'c', 'd', 'e']);
	for (const name of cluster.names.filter(other => other !== cluster.leader!.name).slice(0, 2)) {
		cluster.kill(name);
	}

	await cluster.clock.advance(lostVoterMs * 3);
	expect(votersAt(cluster.leader!.name)).toEqual(['a', 'b', 'c', 'd', 'e']);
});
