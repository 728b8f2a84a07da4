import {expect, it} from 'vitest';
import {type PlacedLoad, playPlacedLoad} from '../../testing/placement-simulation.js';
import {AffinityPlacement} from './placement.js';

/** No server may be busy for more than nine tenths of the time when all together are for half of it. */
const busiestLimit = 1.8;
/** Waits of a few requests are due to chance at this load. */
const p95Limit = 5;
const processedAgainLimit = 0.05;

// Guards against a few servers that get most of the load because many hosts, each with too few requests of its own to notice,
// send the same popular parts of prompts to them, and against parts that are processed again because they are spread too far.
it.each<{name: string} & Omit<PlacedLoad, 'seed' | 'utilization'>>([
	{
		name: '191 hosts and 4 parts', hosts: 191, servers: 44, zones: 5, perHost: 2, parts: 4,
	},
	{
		name: '191 hosts and 12 parts', hosts: 191, servers: 44, zones: 5, perHost: 2, parts: 12,
	},
	{
		name: '191 hosts and a part in half of the requests', hosts: 191, servers: 44, zones: 5, perHost: 2, parts: 40, firstShare: 0.5,
	},
	{
		name: '370 hosts and 16 parts', hosts: 370, servers: 120, zones: 6, perHost: 3, parts: 16,
	},
	{
		name: '75 hosts and 4 parts', hosts: 75, servers: 62, zones: 4, perHost: 5, parts: 4,
	},
	{
		name: '9 hosts and 4 parts', hosts: 9, servers: 6, zones: 3, perHost: 6, parts: 4,
	},
])('balances the load of $name', load => {
	for (const seed of [1, 2]) {
		const {busiest, p95, processedAgain} = playPlacedLoad({seed, utilization: 0.5, ...load}, random => new AffinityPlacement(random));
		expect(busiest, `seed ${seed}`).toBeLessThanOrEqual(busiestLimit);
		expect(p95, `seed ${seed}`).toBeLessThanOrEqual(p95Limit);
		expect(processedAgain, `seed ${seed}`).toBeLessThanOrEqual(processedAgainLimit);
	}
});
