import {afterEach, expect, it} from 'vitest';
import {LogCluster} from '../../testing/log-cluster.js';

/** Maximum time in milliseconds until a new leader acts. */
const maxGapMs = 3000;

let cluster: LogCluster;

afterEach(() => {
	cluster.dispose();
});

/** Whether the leader could grant leases: it holds its own lease and has applied what is committed. */
function grantsLeases(): boolean {
	const member = cluster.leader?.member;
	return member?.hasLease() === true && member.appliedIndex === member.commitIndex;
}

/** Proposes a command every 300 ms. @returns the longest time in milliseconds without a leader that could grant leases. */
async function longestGap(durationMs: number): Promise<number> {
	const stepMs = 50;
	let gapMs = 0;
	let longestMs = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
		const leader = cluster.leader?.member;
		if (elapsedMs % 300 === 0 && leader) {
			void cluster.outcomeOf(async () => leader.propose(`at ${elapsedMs}`));
		}

		await cluster.clock.advance(stepMs); // eslint-disable-line no-await-in-loop -- time passes in steps
		gapMs = grantsLeases() ? 0 : gapMs + stepMs;
		longestMs = Math.max(longestMs, gapMs);
	}

	return longestMs;
}

// Guards against a leader that leads on without granting leases until its disk answers.
it.each([
	{size: 3, seed: 1}, {size: 3, seed: 2}, {size: 3, seed: 3}, {size: 5, seed: 4}, {size: 5, seed: 5},
])('grants leases again well within a lease when the disk of the leader hangs, $size voters, seed $seed', async ({size, seed}) => {
	cluster = new LogCluster(seed, {hosts: ['a', 'b', 'c', 'd', 'e'].slice(0, size)});
	const old = await cluster.bootstrap();
	old.disk.syncDelayMs = 30_000;
	expect(await longestGap(20_000)).toBeLessThan(maxGapMs);
	expect(cluster.leader!.name).not.toBe(old.name);
	await cluster.clock.advance(30_000);
	old.disk.syncDelayMs = 0;
	await cluster.clock.advance(70_000);
	expect(cluster.appliedAt(old.name)).toEqual(cluster.appliedAt(cluster.leader!.name));
});

// Guards against a change of the leader that a slow disk, or the disk of another voter, does not call for.
it.each([
	{name: 'the disk of a follower hangs', atLeader: false, syncDelayMs: 30_000},
	{name: 'each write of the leader takes 400 ms', atLeader: true, syncDelayMs: 400},
])('keeps the leader while $name', async ({atLeader, syncDelayMs}) => {
	cluster = new LogCluster(6);
	const {name} = await cluster.bootstrap();
	const slow = atLeader ? name : cluster.names.find(other => other !== name)!;
	cluster.host(slow).disk.syncDelayMs = syncDelayMs;
	await longestGap(20_000);
	expect(cluster.leader!.name).toBe(name);
	expect(cluster.leader!.member!.term).toBe(cluster.host(slow).member!.term);
});
