import {expect, it} from 'vitest';
import {DecayedMean} from './decayed-mean.js';

// Guards against a standard error that is too small by a factor of 1.4 while there are only recent values, as after a change of
// the leader: a quarter of 98 equal servers then got weights other than 1.
it.each([
	{
		name: 'values within a short time', halfLifeMs: 1_000_000, count: 20, min: 19.9, max: 20,
	},
	{
		name: 'values over many half-lives', halfLifeMs: 1000, count: 20_000, min: 28.8, max: 28.95,
	},
])('counts $name by their weights', ({halfLifeMs, count, min, max}) => {
	const mean = new DecayedMean(halfLifeMs, 1);
	for (let index = 0; index < count; index++) {
		mean.add(1, 1, index * 100);
	}

	expect(mean.effectiveCount(count * 100)).toBeGreaterThanOrEqual(min);
	expect(mean.effectiveCount(count * 100)).toBeLessThanOrEqual(max);
});
