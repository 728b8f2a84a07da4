import fc from 'fast-check';
import {expect, it} from 'vitest';
import {LogCluster} from '../../testing/log-cluster.js';
import {LogWorkload} from '../../testing/log-workload.js';
import {consensusMethods} from './consensus-methods.js';

const appendIntervalMs = 40;
const hosts = ['a', 'b', 'c', 'd', 'e'];

// Guards against a leader that calls each other member, twice, for each proposal of a burst.
it('sends the proposals of a burst in few batches', async () => {
	const cluster = new LogCluster(1, {hosts, appendIntervalMs});
	const leader = await cluster.bootstrap();
	await cluster.clock.advance(500);
	const {transport} = leader;
	let appends = 0;
	const {call} = transport!;
	transport!.call = async (peer, method, params, timeoutMs) => {
		appends += method.name === consensusMethods('test').append.name ? 1 : 0;
		return call(peer, method, params, timeoutMs);
	};

	const proposals = [];
	for (let index = 0; index < 100; index++) {
		proposals.push(leader.member!.propose(`x${index}`));
		await cluster.clock.advance(10); // eslint-disable-line no-await-in-loop -- one after the other
	}

	await cluster.clock.advance(100);
	await Promise.all(proposals);
	// Batches, commit indexes and heartbeats to four members in 1.1 s; 800 and 44 without an interval.
	expect(appends).toBeLessThan(4 * ((2 * 1100 / appendIntervalMs) + 12));
	cluster.dispose();
});

// Guards against a proposal outside of a burst that waits for the interval.
it('sends a single proposal at once', async () => {
	const cluster = new LogCluster(1, {hosts, appendIntervalMs});
	const leader = await cluster.bootstrap();
	await cluster.clock.advance(500);
	let isCommitted = false;
	void (async () => {
		await leader.member!.propose('x');
		isCommitted = true;
	})();

	expect(await cluster.clock.advanceUntil(() => isCommitted, appendIntervalMs / 2, 1)).toBe(true);
	cluster.dispose();
});

// Guards against entries that are never sent, or are sent out of order, because they were held back when a fault came.
it('keeps the guarantees of the log under random faults', async () => {
	await fc.assert(fc.asyncProperty(fc.nat(), fc.constantFrom(3, 5), async (seed, size) => {
		const workload = new LogWorkload(seed, {
			hosts: hosts.slice(0, size), snapshotInterval: 20, retainedEntries: 10, segmentSize: 4000, appendIntervalMs,
		});
		expect(await workload.run(40)).toEqual([]);
		expect(workload.checker.acknowledged).toBeGreaterThan(20);
	}), {seed: 3, numRuns: 12, endOnFailure: true});
});
