import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {MemoryDisk} from '../../testing/memory-disk.js';
import {MemoryNetwork} from '../../testing/memory-network.js';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {nullCounters} from '../base/null-counters.js';
import {nullLogger} from '../base/null-logger.js';
import {SeededRandom} from '../base/seeded-random.js';
import {plainTextCodec} from '../base/text-codec.js';
import {DiskLogStorage} from '../consensus/disk-log-storage.js';
import {ControlHost} from './control-host.js';

const names = ['a', 'b', 'c'];

async function startGroup(seed: number) {
	const clock = new ManualClock();
	const random = new SeededRandom(seed);
	const network = new MemoryNetwork(clock, random.fork('network'));
	const hosts = await Promise.all(names.map(async name => ControlHost.start({
		region: 'r',
		seeds: () => names,
		isBootstrap: true,
		clock,
		startedAt: clock.now(),
		random: random.fork(name),
		transport: network.attach(name),
		counters: nullCounters,
		logger: nullLogger,
		storage: new DiskLogStorage(new MemoryDisk(clock, random.fork(`disk ${name}`)).attach()),
		addresses: {refusesConnections: async () => false},
		sessionMs: 60_000,
		exposureLimit: {share: 0.15, slack: 30},
		keepSeconds: 1,
		codec: plainTextCodec,
	})));
	await clock.advanceUntil(() => hosts[0]!.leader !== undefined, 10_000);
	const settle = async <T>(promise: Promise<T>): Promise<T> => {
		let isSettled = false;
		void (async () => {
			await Promise.allSettled([promise]);
			isSettled = true;
		})();

		await clock.advanceUntil(() => isSettled, 20_000);
		return promise;
	};

	return {
		clock, network, hosts, settle,
	};
}

// Guards against a leave that is acknowledged without effect by a host that has not heard of the server yet.
it.each([1, 2, 3])('removes a server of which the asked host does not know yet, seed %i', async seed => {
	const {clock, network, hosts, settle} = await startGroup(seed);
	const leader = names.indexOf(hosts[0]!.leader!);
	const behind = (leader + 1) % 3;
	network.partition([names[behind]!], names.filter((_, index) => index !== behind));
	const server = testBackend('s-1');
	expect(await settle(hosts[leader]!.announce(server))).toBe(true);
	network.heal();
	await settle(hosts[behind]!.leave(server.id));
	await clock.advance(100);
	expect(await settle(hosts[leader]!.announce(server))).toBe(false);
	for (const host of hosts) {
		host.dispose();
	}
});

// Guards against a leave that is acknowledged by a host which cannot tell whether the server is registered.
it('acknowledges no leave of an unknown server while it is cut off', async () => {
	const {network, hosts, settle} = await startGroup(1);
	network.partition([names[2]!], names.slice(0, 2));
	await expect(settle(hosts[2]!.leave('s-1'))).rejects.toMatchObject({code: 'control-unavailable'});
	network.heal();
	await settle(hosts[2]!.leave('s-2'));
	for (const host of hosts) {
		host.dispose();
	}
});
