import {expect, it} from 'vitest';
import {ControlCluster, testServer} from '../../testing/control-cluster.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {PeerCallError} from '../base/peer-errors.js';
import {type PeerMethod} from '../base/peer-method.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {plainTextCodec} from '../base/text-codec.js';
import {renewMethod, routingContentMethod} from './control-methods.js';
import {ControlReplica} from './control-replica.js';

/** A transport on which the content of configurations can be made unavailable. */
function withoutContent(transport: PeerTransport): PeerTransport {
	return {
		self: transport.self,
		handle: (method, handler) => transport.handle(method, handler),
		async call<Params, Result>(peer: string, method: PeerMethod<Params, Result>, params: Params, timeoutMs: number): Promise<Result> {
			if (method.name === routingContentMethod.name) {
				throw new PeerCallError('not available', 'routing-content-unavailable');
			}

			return transport.call(peer, method, params, timeoutMs);
		},
	};
}

async function start(alterTransport?: (transport: PeerTransport) => PeerTransport) {
	const cluster = await ControlCluster.start();
	cluster.log.commandVersion = 2;
	const {follower} = cluster.add('e', {codec: plainTextCodec, alterTransport});
	await cluster.clock.advance(2000);
	const apply = async (version: number) => cluster.settle(cluster.daemon('v1').follower.propose({type: 'apply-routing', version, source: `text ${version}`}));
	return {cluster, follower, apply};
}

// Guards against a lease that is longer than its duration because the time of day of the leader was set forward while it held the renewal.
it('a lease never begins after the reply has arrived', async () => {
	const clock = new ManualClock();
	const replica = new ControlReplica(clock);
	await clock.advance(1000);
	replica.accept({
		term: 1, granted: true, leaseMs: 4000, heldMs: 3800, entries: [], commitIndex: 0, parts: {},
	}, 800);
	expect(replica.lease.expiresAt).toBe(5000);
	expect(replica.lease.currentUntil).toBe(1000);
});

// Guards against a hold that counts a step of the leader's time of day, or a suspension of the leader after it has read the state.
it.each<{name: string; disturb: (cluster: ControlCluster) => void}>([
	{
		name: 'during the hold', disturb(cluster) {
			cluster.daemon('v1').clock.stall(3000);
		},
	},
	{
		name: 'after the state was read', disturb(cluster) {
			cluster.daemon('v1').service!.addSection({
				section: {name: 'stall'},
				reset() {
					// Keeps nothing.
				},
				receive() {
					// Gets no parts.
				},
				reply({host}) {
					cluster.daemon('v1').clock.stall(host === 'e' ? 3000 : 0);
					return undefined;
				},
			});
		},
	},
])('names a hold that is not longer than requested when the clock advances $name', async ({disturb}) => {
	const holds: number[] = [];
	const {cluster} = await start(transport => ({
		self: transport.self,
		handle: (method, handler) => transport.handle(method, handler),
		async call<Params, Result>(peer: string, method: PeerMethod<Params, Result>, params: Params, timeoutMs: number): Promise<Result> {
			const reply = await transport.call(peer, method, params, timeoutMs);
			if (method.name === renewMethod.name) {
				holds.push((reply as {heldMs: number}).heldMs);
			}

			return reply;
		},
	}));
	await cluster.clock.advance(500);
	disturb(cluster);
	await cluster.clock.advance(3000);
	expect(Math.max(...holds)).toBeLessThanOrEqual(900);
	cluster.dispose();
});

// Guards against a host that gets a lease with a configuration that was replaced long ago, such as one with a revoked key, because the new leader has applied the later one only now.
it('grants no lease with a replaced configuration by the time at which a late member has applied the later one', async () => {
	const {cluster, follower, apply} = await start(withoutContent);
	await apply(1);
	follower.dispose();
	const {follower: host, clock} = await isolatedHost(cluster);
	cluster.daemon('v2').log!.setIsolated(true);
	await apply(2);
	await cluster.clock.advance(10_000);
	expect(host.lease.isValid()).toBe(false);
	cluster.log.elect(undefined);
	cluster.network.heal();
	await cluster.clock.advance(3000);
	cluster.daemon('v2').log!.setIsolated(false);
	cluster.log.elect('v2');
	let actedMs = 0;
	for (let at = 0; at < 5000; at += 50) {
		await cluster.clock.advance(50); // eslint-disable-line no-await-in-loop -- checked at each step
		actedMs += host.lease.isValid() && host.view.routing?.version === 1 ? 50 : 0;
	}

	expect(actedMs).toBe(0);
	expect(host.lease.currentUntil).toBeLessThan(clock.now() - 17_000);
	cluster.dispose();
});

// Guards against a host that acts for longer than a lease by a directory and evacuations that have changed, where configurations may be in force late.
it('grants no lease for longer than its duration with a replaced configuration', async () => {
	let isAvailable = true;
	const {cluster, follower, apply} = await start(transport => {
		const blocked = withoutContent(transport);
		return {
			self: transport.self,
			handle: (method, handler) => transport.handle(method, handler),
			call: async (peer, method, params, timeoutMs) => (isAvailable ? transport : blocked).call(peer, method, params, timeoutMs),
		};
	});
	cluster.add('v1', {configurationBoundMs: 10_000});
	cluster.log.elect('v1');
	await cluster.clock.advance(5000);
	await apply(1);
	await cluster.clock.advance(1000);
	isAvailable = false;
	await apply(2);
	await cluster.clock.advance(1000);
	let longestMs = 0;
	for (let at = 0; at < 3000; at += 50) {
		await cluster.clock.advance(50); // eslint-disable-line no-await-in-loop -- checked at each step
		longestMs = Math.max(longestMs, follower.lease.expiresAt - cluster.clock.now());
	}

	expect(follower.view.routing?.version).toBe(1);
	expect(longestMs).toBeGreaterThan(3000);
	expect(longestMs).toBeLessThanOrEqual(4000);
	cluster.dispose();
});

/** A host that has the first configuration, and cannot reach the control hosts nor fetch a later one. */
async function isolatedHost(cluster: ControlCluster) {
	let isAvailable = true;
	const daemon = cluster.add('f', {
		codec: plainTextCodec,
		alterTransport(transport) {
			const blocked = withoutContent(transport);
			return {
				self: transport.self,
				handle: (method, handler) => transport.handle(method, handler),
				call: async (peer, method, params, timeoutMs) => (isAvailable ? transport : blocked).call(peer, method, params, timeoutMs),
			};
		},
	});
	await cluster.clock.advance(2000);
	expect(daemon.follower.view.routing?.version).toBe(1);
	isAvailable = false;
	cluster.isolate('f');
	return daemon;
}

// Guards against renewals that grow with the entries since a configuration whose content does not come, on the link that the content needs.
it('sends a host that lacks the content each entry once', async () => {
	let received = 0;
	let isAvailable = true;
	const {cluster, apply} = await start(transport => {
		const blocked = withoutContent(transport);
		return {
			self: transport.self,
			handle: (method, handler) => transport.handle(method, handler),
			async call(peer, method, params, timeoutMs) {
				const reply = await (isAvailable ? transport : blocked).call(peer, method, params, timeoutMs);
				received += JSON.stringify(reply).length;
				return reply;
			},
		};
	});
	await apply(1);
	await cluster.clock.advance(1000);
	isAvailable = false;
	await apply(2);
	for (let id = 0; id < 200; id++) {
		await cluster.settle(cluster.daemon('v1').follower.propose({type: 'backend-joined', server: testServer(`engine-${id}`), at: 0})); // eslint-disable-line no-await-in-loop -- one after the other
	}

	await cluster.clock.advance(1000);
	received = 0;
	await cluster.clock.advance(3000);
	expect(received).toBeLessThan(20_000);
	cluster.dispose();
});

// Guards against a host that counts as acting by a configuration because it lacks a later one as well.
it('counts a host that lacks two configurations as behind the first one', async () => {
	let isAvailable = true;
	const {cluster, apply} = await start(transport => {
		const blocked = withoutContent(transport);
		return {
			self: transport.self,
			handle: (method, handler) => transport.handle(method, handler),
			call: async (peer, method, params, timeoutMs) => (isAvailable ? transport : blocked).call(peer, method, params, timeoutMs),
		};
	});
	await apply(1);
	await cluster.clock.advance(1000);
	isAvailable = false;
	const {revision} = await apply(2) as {revision: number};
	await cluster.clock.advance(200);
	await apply(3);
	await cluster.clock.advance(600);
	expect(cluster.daemon('v1').service!.inForce(revision).behind.map(({host}) => host)).toEqual(['e']);
	cluster.dispose();
});

// Guards against a host that goes on with a replaced configuration, or fails, because a leader of an earlier release passes on an entry that it cannot read itself.
it('takes a change of a configuration in the log for a configuration whose content is missing', async () => {
	const clock = new ManualClock();
	const replica = new ControlReplica(clock);
	const reply = {
		term: 1, granted: true, leaseMs: 4000, commitIndex: 2, parts: {},
	};
	replica.accept({...reply, commitIndex: 1, entries: [{index: 1, term: 1, command: {type: 'apply-routing', version: 1, source: 'text 1'}}]}, 0);
	const {expiresAt} = replica.lease;
	await clock.advance(1000);
	// The second entry is the same change, sent again.
	const command = {
		type: 'change-routing', version: 2, base: 1, difference: 'q1Y=', checksum: 1,
	} as const;
	replica.accept({...reply, commitIndex: 3, entries: [{index: 2, term: 1, command}, {index: 3, term: 1, command}]}, 1000);
	expect(replica.missingRouting).toBe(2);
	expect(replica.lease.isSuperseded).toBe(true);
	expect(replica.lease.expiresAt).toBe(expiresAt);
	replica.replaceRouting({version: 2, revision: 2, source: 'text 2'});
	replica.accept({...reply, commitIndex: 3, entries: []}, 1000);
	expect(replica.missingRouting).toBeUndefined();
	expect(replica.lease.expiresAt).toBe(5000);
});
