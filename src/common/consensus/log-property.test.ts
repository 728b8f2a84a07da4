import fc from 'fast-check';
import {expect, it} from 'vitest';
import {DriftingClock} from '../../testing/drifting-clock.js';
import {faultyStorage, type StorageFault} from '../../testing/faulty-storage.js';
import {LogCluster, type LogClusterOptions} from '../../testing/log-cluster.js';
import {LogWorkload} from '../../testing/log-workload.js';
import {type QuorumRule} from './quorum-rule.js';

const steps = 40;

function driftOf(rates: Record<string, number>): LogClusterOptions['clockOf'] {
	return (host, clock) => new DriftingClock(clock, rates[host] ?? 1);
}

// Guards against lost acknowledged writes, diverging members, two leaders in one term, stale leases and reordered proposals under any mix of faults.
it('keeps its guarantees under random faults', async () => {
	await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(20, 200), fc.constantFrom(3, 3, 5), async (seed, snapshotInterval, size) => {
		const workload = new LogWorkload(seed, {
			hosts: ['a', 'b', 'c', 'd', 'e'].slice(0, size), snapshotInterval, retainedEntries: 10, segmentSize: 4000, clockOf: driftOf({a: 0.99, b: 1.01}),
		});
		expect(await workload.run(steps)).toEqual([]);
		expect(workload.checker.acknowledged).toBeGreaterThan(20);
	}), {seed: 1, numRuns: 12, endOnFailure: true});
});

/** Runs seeds until the checker reports the violation, or any violation if none is given. */
async function firstViolations(optionsOf: () => LogClusterOptions, violation?: string, setUp: (workload: LogWorkload) => void = () => undefined): Promise<string[]> {
	let violations: string[] = [];
	const isFound = () => violation === undefined ? violations.length > 0 : violations.includes(violation);
	for (let seed = 1; seed <= 40 && !isFound(); seed++) {
		const workload = new LogWorkload(seed, {...optionsOf()});
		setUp(workload);
		// eslint-disable-next-line no-await-in-loop -- stops at the first seed with the violation
		violations = await workload.run(steps);
	}

	return violations;
}

function storageFault(fault: StorageFault): LogClusterOptions {
	const memories = new Map<string, {identity?: string}>();
	return {
		wrapStorage(host, storage) {
			const memory = memories.get(host) ?? {};
			memories.set(host, memory);
			return faultyStorage(fault, storage, memory);
		},
	};
}

const anyVoter: QuorumRule = {isQuorum: (voters, predicate) => voters.some(voter => predicate(voter))};

// Guards against a checker that detects nothing: each run disables one mechanism, and the checker must report the resulting violation.
it.each<[string, () => LogClusterOptions, string]>([
	['a quorum', () => ({rule: anyVoter}), 'members disagree'],
	['the sync before a reply', () => storageFault('acknowledged-before-sync'), 'acknowledged write lost'],
	['the stored vote', () => storageFault('vote-not-stored'), 'two leaders in one term'],
	['new identities after a disk loss', () => storageFault('identity-kept-after-disk-loss'), 'acknowledged write lost'],
])('the checker reports a violation without %s', async (_, optionsOf, violation) => {
	const violations = await firstViolations(optionsOf, violation);
	expect(violations).toContain(violation);
});

/** Isolates leader `a` and counts the samples in which two members hold a lease. */
async function countDoubleLeases(seed: number, rates: Record<string, number>): Promise<number> {
	const cluster = new LogCluster(seed, {clockOf: driftOf(rates)});
	await cluster.bootstrap();
	while (cluster.leader!.name !== 'a') {
		cluster.leader!.member!.transferLeadership();
		// eslint-disable-next-line no-await-in-loop -- repeats until `a` leads
		await cluster.clock.advance(1000);
		// eslint-disable-next-line no-await-in-loop -- as above
		await cluster.waitForLeader();
	}

	cluster.network.partition(['a'], ['b', 'c']);
	let count = 0;
	for (let time = 0; time < 3000; time += 10) {
		// eslint-disable-next-line no-await-in-loop -- time passes in steps
		await cluster.clock.advance(10);
		count += cluster.members.filter(member => member.hasLease()).length > 1 ? 1 : 0;
	}

	const {leader} = cluster;
	cluster.dispose();
	expect(leader!.name).not.toBe('a');
	return count;
}

// Guards against a lease that outlasts the period in which followers refuse votes, when clocks drift by the allowed 1 %.
it.each([1, 2, 3, 4, 5])('has one lease at a time with a slow leader and fast followers, seed %i', async seed => {
	expect(await countDoubleLeases(seed, {a: 0.99, b: 1.01, c: 1.01})).toBe(0);
});

it('the lease check detects two leases when clocks drift more than allowed', async () => {
	expect(await countDoubleLeases(1, {a: 0.3, b: 2, c: 2})).toBeGreaterThan(0);
});

it('the checker reports violations with disks that ignore syncs', async () => {
	const violations = await firstViolations(() => ({}), undefined, workload => {
		for (const host of workload.cluster.hosts.values()) {
			host.disk.isSyncIgnored = true;
		}
	});
	expect(violations).not.toEqual([]);
});
