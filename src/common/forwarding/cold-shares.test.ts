import {expect, it} from 'vitest';
import {testBackend} from '../../testing/forwarder-fixture.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {SharedColdServers} from './cold-servers.js';
import {coldShare} from './cold-share-history.js';
import {ServerRecord} from './server-pool.js';

// Guards against a division whose shares together exceed the limit in a second, and against one that leaves most of it unused.
it.each([
	{
		limit: 30.5, hostCount: 79, hosts: 5, perHost: 6,
	},
	{
		limit: 32, hostCount: 55, hosts: 5, perHost: 6,
	},
	{
		limit: 30.5, hostCount: 3, hosts: 3, perHost: 10,
	},
	{
		limit: 5, hostCount: 79, hosts: 2, perHost: 2,
	},
	{
		limit: 2, hostCount: 79, hosts: 1, perHost: 2,
	},
	{
		limit: 1, hostCount: 79, hosts: 1, perHost: 1,
	},
])('divides $limit requests in a second among $hosts of $hostCount hosts', ({limit, hostCount, hosts, perHost}) => {
	const share = coldShare(limit, hostCount)!;
	expect(share.hosts).toBe(hosts);
	// Both ends of a second count.
	expect(Math.floor(1000 / share.intervalMs) + 1).toBe(perHost);
	expect(hosts * perHost).toBeLessThanOrEqual(limit);
});

it.each([{limit: 0.9, hostCount: 9}, {limit: 5, hostCount: 0}])('allows nothing with a limit of $limit and $hostCount hosts', ({limit, hostCount}) => {
	expect(coldShare(limit, hostCount)).toBeUndefined();
});

/** Creates the limits of host `self`, which shares those of a server in its zone with `others` of another zone. */
function createShares(others: number, limit: number | undefined) {
	const clock = new ManualClock();
	const cold = new SharedColdServers('self', clock, () => limit);
	const record = new ServerRecord(testBackend('a', {coldSince: 1}));
	const entry = (host: string, zone: string) => ({
		host, incarnation: 1, address: `${host}:1`, peerAddress: `${host}:2`, zone, leaving: false,
	});
	/** Replaces the directory: hosts of the server's zone that come before `self`, and its incarnation, 0 when it is not listed. */
	const update = (before: number, incarnation = 1) => {
		const near = Array.from({length: before}, (_, index) => entry(`near-${index}`, 'z'));
		const far = Array.from({length: others}, (_, index) => entry(`far-${index}`, 'y'));
		cold.update([...near, ...far, ...(incarnation === 0 ? [] : [entry('self', before === 0 ? 'z' : 'y')])], incarnation === 0 ? undefined : incarnation);
	};

	return {
		clock, cold, record, update, waitMs: () => cold.waitMs(record, 's'),
	};
}

type Shares = ReturnType<typeof createShares>;

// Guards against a host that uses a share which another one still uses, or has used within the last second.
it.each<{name: string; waitMs: number; play: (shares: Shares) => Promise<void> | void}>([
	{
		name: 'has just joined', waitMs: Infinity, play({update}) {
			update(0);
		},
	},
	{
		name: 'has been listed for a lease and a second', waitMs: 0, async play({clock, update}) {
			update(0);
			await clock.advance(5090);
		},
	},
	{
		name: 'has expired and joined again between two views', waitMs: 5090, async play({clock, update}) {
			update(0);
			await clock.advance(20_000);
			update(0, 2);
		},
	},
	{
		name: 'is not listed', waitMs: Infinity, async play({clock, update}) {
			update(0);
			await clock.advance(20_000);
			update(0, 0);
		},
	},
	{
		name: 'takes the share of a host that has left', waitMs: Infinity, async play({clock, update}) {
			update(5);
			await clock.advance(20_000);
			update(0);
			await clock.advance(1049);
		},
	},
	{
		name: 'took the share of such a host a second ago', waitMs: 0, async play({clock, update}) {
			update(5);
			await clock.advance(20_000);
			update(0);
			await clock.advance(1051);
		},
	},
	{
		name: 'has lost its share', waitMs: Infinity, async play({clock, update}) {
			update(0);
			await clock.advance(20_000);
			update(5);
		},
	},
	{
		name: 'has gained a lease after a time without one', waitMs: 1050, async play({clock, cold, update}) {
			update(0);
			await clock.advance(20_000);
			cold.recordLeaseGained();
		},
	},
	{
		name: 'has sent to the server when it was warm', waitMs: 175, async play({clock, cold, record, update}) {
			update(0);
			await clock.advance(20_000);
			record.server = testBackend('a');
			cold.recordSent(record);
			cold.startWrite(record, 's');
			record.server = testBackend('a', {coldSince: 2});
		},
	},
	{
		name: 'has written a request later than it was chosen', waitMs: 175, async play({clock, cold, record, update}) {
			update(0);
			await clock.advance(20_000);
			cold.recordSent(record);
			await clock.advance(100);
			expect(cold.startWrite(record, 's')).toBe(true);
		},
	},
	{
		name: 'knows the server as warm', waitMs: 0, play({record, update}) {
			update(5);
			record.server = testBackend('a');
		},
	},
])('waits $waitMs ms when it $name', async ({waitMs, play}) => {
	const shares = createShares(10, 30.5);
	await play(shares);
	expect(shares.waitMs()).toBe(waitMs);
	expect(shares.cold.startWrite(shares.record, 's')).toBe(waitMs === 0);
});

// Guards against few hosts that share a limit and exceed it in the second after one of them has left.
it('keeps to the longer interval for a second when fewer hosts share a limit', async () => {
	const {clock, cold, record, update, waitMs} = createShares(3, 30.5);
	update(1);
	await clock.advance(20_000);
	update(0);
	cold.recordSent(record);
	expect(waitMs()).toBe(175);
	await clock.advance(1051);
	cold.recordSent(record);
	expect(waitMs()).toBe(150);
});

// Guards against limits where the configuration or the settings name none.
it('limits nothing without a limit', () => {
	const {cold, record, waitMs} = createShares(10, undefined);
	expect([waitMs(), cold.startWrite(record, 's'), cold.startWrite(record, 's')]).toEqual([0, true, true]);
});
