import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {MemoryDisk} from '../../testing/memory-disk.js';
import {MemoryNetwork} from '../../testing/memory-network.js';
import {RecordingLogger} from '../../testing/recording-logger.js';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {nullCounters} from '../base/null-counters.js';
import {SeededRandom} from '../base/seeded-random.js';
import {plainTextCodec} from '../base/text-codec.js';
import {DiskLogStorage} from '../consensus/disk-log-storage.js';
import {ControlHost, type ControlHostOptions} from './control-host.js';

const names = ['a', 'b', 'c'];

async function startGroup(seed: number, changes: Pick<ControlHostOptions, 'parseColdStarts'> = {}) {
	const clock = new ManualClock();
	const logger = new RecordingLogger();
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
		logger,
		storage: new DiskLogStorage(new MemoryDisk(clock, random.fork(`disk ${name}`)).attach()),
		addresses: {refusesConnections: async () => false},
		sessionMs: 60_000,
		exposureLimit: {share: 0.15, slack: 30},
		keepSeconds: 1,
		codec: plainTextCodec,
		...changes,
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
		clock, network, hosts, settle, logger, removals: () => logger.of('backend server removed, no heartbeat').length,
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

// Guards against servers that are removed although a host that does not lead acknowledges their heartbeats.
it.each([
	{name: 'at one follower', cutMs: 0, targets: (leader: number) => [(leader + 1) % 3]},
	{name: 'at one follower that is cut off for a while', cutMs: 8000, targets: (leader: number) => [(leader + 1) % 3, (leader + 2) % 3]},
	{name: 'at each follower in turn', cutMs: 0, targets: (leader: number, beat: number) => [(leader + 1 + (beat % 2)) % 3]},
])('keeps a server listed whose heartbeats arrive $name', async ({cutMs, targets}) => {
	const {clock, network, hosts, settle, removals} = await startGroup(4);
	const leader = names.indexOf(hosts[0]!.leader!);
	const server = testBackend('s-1');
	expect(await settle(hosts[leader]!.announce(server))).toBe(true);
	await clock.advance(1000);
	for (let beat = 0; beat < 40; beat++) {
		if (beat === 2 && cutMs > 0) {
			const follower = names[(leader + 1) % 3]!;
			network.partition([follower], names.filter(name => name !== follower));
		} else if (beat * 1000 === cutMs + 2000) {
			network.heal();
		}

		for (const target of targets(leader, beat)) {
			// A server tries the next host only when a heartbeat is not acknowledged.
			const [result] = await settle(Promise.allSettled([hosts[target]!.announce(server)])); // eslint-disable-line no-await-in-loop -- one after another
			const outcome = result.status === 'fulfilled' ? result.value : undefined;
			expect(outcome ?? true).toBe(true);
			if (outcome) {
				break;
			}
		}

		await clock.advance(1000); // eslint-disable-line no-await-in-loop -- one after another
		expect(removals()).toBe(0);
	}

	for (const host of hosts) {
		host.dispose();
	}
});

// Guards against a server that is removed at once because it has registered at a host that does not lead.
it('keeps a server that registers at a follower long after the start of the leadership', async () => {
	const {clock, hosts, settle, removals} = await startGroup(5);
	const leader = names.indexOf(hosts[0]!.leader!);
	await clock.advance(20_000);
	const server = testBackend('s-1');
	expect(await settle(hosts[(leader + 1) % 3]!.announce(server))).toBe(true);
	await clock.advance(3000);
	expect(removals()).toBe(0);
	for (const host of hosts) {
		host.dispose();
	}
});

// Guards against a dead server that stays listed.
it('removes a server whose heartbeats at a follower have stopped', async () => {
	const {clock, hosts, settle, removals} = await startGroup(6);
	const leader = names.indexOf(hosts[0]!.leader!);
	const server = testBackend('s-1');
	await settle(hosts[(leader + 1) % 3]!.announce(server));
	await clock.advance(5000);
	await settle(hosts[(leader + 1) % 3]!.announce(server));
	await clock.advance(12_000);
	expect(removals()).toBe(0);
	await clock.advance(6000);
	expect(removals()).toBe(1);
	for (const host of hosts) {
		host.dispose();
	}
});

// Guards against a process that turns cold again and is not marked, a command in the log for each heartbeat, marks that stay, and
// marks in a deployment without limits for cold servers. Each heartbeat follows the one before after a second.
it.each([
	{
		name: 'cold after its start', heartbeats: [2500, 1500, 500, undefined, undefined, undefined], announced: [2500], warm: 1,
	},
	{
		name: 'cold again while it is cold', heartbeats: [2500, 1500, 2500, 1500, 500, undefined, undefined, undefined], announced: [2500, 2500], warm: 1,
	},
	{
		name: 'cold again after it was warm', heartbeats: [1500, undefined, undefined, undefined, 2500, 1500, 500, undefined, undefined], announced: [1500, 2500], warm: 2,
	},
	{
		name: 'cold after a warm start', heartbeats: [undefined, 2500, 1500, 500, undefined, undefined], announced: [undefined, 2500], warm: 1,
	},
	{
		name: 'cold without limits', heartbeats: [2500, 1500, 500, undefined, undefined], announced: [undefined], warm: 0, hasLimits: false,
	},
])('commits the times of a process that is $name', async ({heartbeats, announced, warm, hasLimits = true}) => {
	const {clock, hosts, settle, logger} = await startGroup(7, hasLimits ? {parseColdStarts: () => new Map()} : {});
	const leader = names.indexOf(hosts[0]!.leader!);
	for (const [index, coldMs] of heartbeats.entries()) {
		const host = hosts[(leader + index) % names.length]!;
		expect(await settle(host.announce(testBackend('s-1', coldMs === undefined ? {} : {coldMs})))).toBe(true); // eslint-disable-line no-await-in-loop -- one after another
		await clock.advance(1000); // eslint-disable-line no-await-in-loop -- one after another
	}

	expect(logger.of('backend server announced').map(({coldMs}) => coldMs)).toEqual(announced);
	expect(logger.of('backend servers are warm')).toHaveLength(warm);
	for (const host of hosts) {
		host.dispose();
	}
});

// Guards against a server that turns cold while its warm announcement is under way, and counts as warm because both share a proposal.
it('commits that a process is cold while another announcement of it is pending', async () => {
	const {hosts, settle, logger} = await startGroup(8, {parseColdStarts: () => new Map()});
	const server = testBackend('s-1');
	await settle(Promise.all([hosts[0]!.announce(server), hosts[0]!.announce({...server, coldMs: 2000}), hosts[0]!.announce({...server, coldMs: 1990})]));
	expect(new Set(logger.of('backend server announced').map(({coldMs}) => coldMs))).toEqual(new Set([2000, undefined]));
	for (const host of hosts) {
		host.dispose();
	}
});
