import {expect, it} from 'vitest';
import {ControlHostGroup} from '../../testing/control-host-group.js';
import {testBackend} from '../../testing/forwarder-fixture.js';

// Guards against a leave that is acknowledged without effect by a host that has not heard of the server yet.
it.each([1, 2, 3])('removes a server of which the asked host does not know yet, seed %i', async seed => {
	const group = await ControlHostGroup.start(seed);
	const {clock, names, network, hosts} = group;
	const leader = group.leader();
	const behind = (leader + 1) % 3;
	network.partition([names[behind]!], names.filter((_, index) => index !== behind));
	const server = testBackend('s-1');
	expect(await group.settle(hosts[leader]!.announce(server))).toBe(true);
	network.heal();
	await group.settle(hosts[behind]!.leave(server.id));
	await clock.advance(100);
	expect(await group.settle(hosts[leader]!.announce(server))).toBe(false);
	group.dispose();
});

// Guards against a leave that is acknowledged by a host which cannot tell whether the server is registered.
it('acknowledges no leave of an unknown server while it is cut off', async () => {
	const group = await ControlHostGroup.start(1);
	const {names, network, hosts} = group;
	network.partition([names[2]], names.slice(0, 2));
	await expect(group.settle(hosts[2]!.leave('s-1'))).rejects.toMatchObject({code: 'control-unavailable'});
	network.heal();
	await group.settle(hosts[2]!.leave('s-2'));
	group.dispose();
});

// Guards against servers that are removed although a host that does not lead acknowledges their heartbeats.
it.each([
	{name: 'at one follower', cutMs: 0, targets: (leader: number) => [(leader + 1) % 3]},
	{name: 'at one follower that is cut off for a while', cutMs: 8000, targets: (leader: number) => [(leader + 1) % 3, (leader + 2) % 3]},
	{name: 'at each follower in turn', cutMs: 0, targets: (leader: number, beat: number) => [(leader + 1 + (beat % 2)) % 3]},
])('keeps a server listed whose heartbeats arrive $name', async ({cutMs, targets}) => {
	const group = await ControlHostGroup.start(4);
	const {clock, names, network, hosts} = group;
	const leader = group.leader();
	const server = testBackend('s-1');
	expect(await group.settle(hosts[leader]!.announce(server))).toBe(true);
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
			const [result] = await group.settle(Promise.allSettled([hosts[target]!.announce(server)])); // eslint-disable-line no-await-in-loop -- one after another
			const outcome = result.status === 'fulfilled' ? result.value : undefined;
			expect(outcome ?? true).toBe(true);
			if (outcome) {
				break;
			}
		}

		await clock.advance(1000); // eslint-disable-line no-await-in-loop -- one after another
		expect(group.removals()).toBe(0);
	}

	group.dispose();
});

// Guards against a server that is removed at once because it has registered at a host that does not lead.
it('keeps a server that registers at a follower long after the start of the leadership', async () => {
	const group = await ControlHostGroup.start(5);
	const {clock, hosts} = group;
	const leader = group.leader();
	await clock.advance(20_000);
	const server = testBackend('s-1');
	expect(await group.settle(hosts[(leader + 1) % 3]!.announce(server))).toBe(true);
	await clock.advance(3000);
	expect(group.removals()).toBe(0);
	group.dispose();
});

// Guards against a dead server that stays listed.
it('removes a server whose heartbeats at a follower have stopped', async () => {
	const group = await ControlHostGroup.start(6);
	const {clock, hosts} = group;
	const leader = group.leader();
	const server = testBackend('s-1');
	await group.settle(hosts[(leader + 1) % 3]!.announce(server));
	await clock.advance(5000);
	await group.settle(hosts[(leader + 1) % 3]!.announce(server));
	await clock.advance(12_000);
	expect(group.removals()).toBe(0);
	await clock.advance(6000);
	expect(group.removals()).toBe(1);
	group.dispose();
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
	const group = await ControlHostGroup.start(7, hasLimits ? {parseColdStarts: () => new Map()} : {});
	const {clock, hosts, logger, names} = group;
	const leader = group.leader();
	for (const [index, coldMs] of heartbeats.entries()) {
		const host = hosts[(leader + index) % names.length]!;
		expect(await group.settle(host.announce(testBackend('s-1', coldMs === undefined ? {} : {coldMs})))).toBe(true); // eslint-disable-line no-await-in-loop -- one after another
		await clock.advance(1000); // eslint-disable-line no-await-in-loop -- one after another
	}

	expect(logger.of('backend server announced').map(({coldMs}) => coldMs)).toEqual(announced);
	expect(logger.of('backend servers are warm')).toHaveLength(warm);
	group.dispose();
});

// Guards against a server that turns cold while its warm announcement is under way, and counts as warm because both share a proposal.
it('commits that a process is cold while another announcement of it is pending', async () => {
	const group = await ControlHostGroup.start(8, {parseColdStarts: () => new Map()});
	const {hosts, logger} = group;
	const server = testBackend('s-1');
	await group.settle(Promise.all([hosts[0]!.announce(server), hosts[0]!.announce({...server, coldMs: 2000}), hosts[0]!.announce({...server, coldMs: 1990})]));
	expect(new Set(logger.of('backend server announced').map(({coldMs}) => coldMs))).toEqual(new Set([2000, undefined]));
	group.dispose();
});

// Guards against a cold server that gets its usual load because the time of day of the control hosts was set forward.
it('keeps a server cold when the time of day is set forward', async () => {
	const group = await ControlHostGroup.start(9, {parseColdStarts: () => new Map()});
	const {clock, hostClock, hosts, logger} = group;
	await group.settle(hosts[0]!.announce(testBackend('s-1', {coldMs: 2500})));
	await clock.advance(500);
	hostClock.stall(3000);
	await clock.advance(1900);
	expect(logger.of('backend servers are warm')).toHaveLength(0);
	await clock.advance(5000);
	expect(logger.of('backend servers are warm')).toHaveLength(1);
	group.dispose();
});
