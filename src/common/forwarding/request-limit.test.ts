import {expect, it} from 'vitest';
import {type LimitedLoad, playLimitedLoad} from '../../testing/limit-simulation.js';
import {RequestLimit} from './request-limit.js';

/** From this time in milliseconds after it was named, a limit must be kept, as specified by the users. */
const inForceMs = 3000;
const windowMs = 4000;
const allowedFactor = 1.5;
const allowedExtra = 5;
/** Two answers, the first of which names the limit or the lack of one. */
const slowestRefusalMs = 300;

/** Returns the largest number of times in a window that begins when the limit must be kept or later. */
function mostInWindow(times: readonly number[], since: number): number {
	const late = times.filter(time => time >= since);
	return Math.max(0, ...late.map(start => late.filter(time => time >= start && time < start + windowMs).length));
}

// Guards against a server in need that gets more requests than it takes from all hosts together, in steady load, after idle
// times, and when the hosts' times of day differ.
it.each<{name: string; limit: number} & Omit<LimitedLoad, 'seed' | 'limitAt'>>([
	{
		name: '9 hosts, steady load', limit: 2.4, hosts: 9, servers: 6, limited: 2, perSecond: () => 67,
	},
	{
		name: '9 hosts, low limit', limit: 0.5, hosts: 9, servers: 6, limited: 1, perSecond: () => 67,
	},
	{
		name: '73 hosts, steady load', limit: 2.4, hosts: 73, servers: 6, limited: 2, perSecond: () => 300,
	},
	{
		name: '73 hosts, high limit', limit: 20, hosts: 73, servers: 6, limited: 2, perSecond: () => 300,
	},
	{
		name: '73 hosts, bursts after idle times', limit: 2.4, hosts: 73, servers: 6, limited: 2, perSecond: now => now % 8000 < 6000 ? 40 : 400,
	},
	{
		name: '9 hosts, times of day that differ', limit: 2.4, hosts: 9, servers: 6, limited: 2, perSecond: () => 67, clockSkewMs: 3000,
	},
	{
		name: '9 hosts, all servers limited', limit: 2.4, hosts: 9, servers: 3, limited: 3, perSecond: () => 67,
	},
])('keeps a limit of $limit a second with $name', async ({limit, ...load}) => {
	for (const seed of [1, 2, 3]) {
		const {knowing, slowestRefusalMs: slowest, areRefusalsNotRun, refused} = await playLimitedLoad({seed, limitAt: () => limit, ...load}); // eslint-disable-line no-await-in-loop -- one after another
		for (const times of knowing.values()) {
			expect(mostInWindow(times, inForceMs), `seed ${seed}`).toBeLessThanOrEqual((limit * windowMs / 1000 * allowedFactor) + allowedExtra);
		}

		expect(knowing.size).toBeGreaterThan(0);
		expect(areRefusalsNotRun).toBe(true);
		expect(slowest).toBeLessThanOrEqual(slowestRefusalMs);
		expect(refused > 0).toBe(load.limited === load.servers);
	}
});

// Guards against a server that stays without requests after it has recovered, and against a limit of zero that never ends.
it.each([2, 0])('sends the usual load again after a limit of %s has ended', async limit => {
	const endAt = 10_000;
	const {toLimited} = await playLimitedLoad({
		seed: 1, hosts: 9, servers: 3, limited: 1, limitAt: now => now < endAt ? limit : undefined, perSecond: () => 60,
	});
	const perSecond = toLimited.filter(time => time >= 20_000).length / 10;
	expect(perSecond).toBeGreaterThan(10);
});

// Guards against an answer from before the limit that arrives late and lifts it.
it('keeps a limit when an earlier request is answered without one', () => {
	const limit = new RequestLimit('a');
	limit.update(2, 100, 200);
	expect(limit.update(undefined, 150, 250)).toBe(false);
	expect(limit.perSecond).toBe(2);
	expect(limit.update(undefined, 201, 300)).toBe(true);
	expect(limit.perSecond).toBe(undefined);
});
