import {expect, it} from 'vitest';
import {LogCluster} from '../../testing/log-cluster.js';
import {electionTimeoutMaxMs} from './consensus-times.js';

const hosts = ['a', 'b', 'c', 'd', 'e'];

// Guards against a split vote when all members restart at once, which would cost another election timeout.
it.each([
	{name: 'fast', delays: [1, 3]},
	{name: 'slow', delays: [20, 40]},
])('elects a leader within one election timeout after a restart of all members, $name links', async ({delays}) => {
	const times: number[] = [];
	for (let seed = 1; seed <= 25; seed++) {
		const cluster = new LogCluster(seed, {hosts, hasStartTime: true});
		[cluster.network.faults.minDelayMs, cluster.network.faults.maxDelayMs] = delays as [number, number];
		await cluster.bootstrap(); // eslint-disable-line no-await-in-loop -- clusters run one after the other
		for (const name of hosts) {
			cluster.kill(name);
		}

		await cluster.clock.advance(1000); // eslint-disable-line no-await-in-loop -- clusters run one after the other
		const startedAt = cluster.clock.now();
		for (const name of hosts) {
			void cluster.launch(name, false);
		}

		await cluster.waitForLeader(); // eslint-disable-line no-await-in-loop -- clusters run one after the other
		times.push(cluster.clock.now() - startedAt);
		cluster.dispose();
	}

	expect(Math.max(...times)).toBeLessThanOrEqual(electionTimeoutMaxMs);
});

// Guards against a member that defers to a candidate and starts no election of its own when that candidate fails.
it.each([1, 2, 3, 4, 5])('elects another leader when the first candidate crashes, seed %i', async seed => {
	const cluster = new LogCluster(seed, {hosts, hasStartTime: true});
	await cluster.bootstrap();
	for (const name of hosts) {
		cluster.kill(name);
	}

	await cluster.clock.advance(1000);
	const startedAt = cluster.clock.now();
	for (const name of hosts) {
		void cluster.launch(name, false);
	}

	await cluster.clock.advanceUntil(() => [...cluster.hosts.values()].some(({member}) => member?.role === 'candidate'), 2000, 1);
	cluster.kill([...cluster.hosts.values()].find(({member}) => member?.role === 'candidate')!.name);
	await cluster.waitForLeader();
	expect(cluster.clock.now() - startedAt).toBeLessThanOrEqual(2 * electionTimeoutMaxMs);
	cluster.dispose();
});
