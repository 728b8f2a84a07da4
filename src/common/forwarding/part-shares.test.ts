import {expect, it} from 'vitest';
import {PartShares} from './part-shares.js';

// Guards against spreading a part over many servers because of the first requests of a host, and against keeping it on few when
// it makes up most of the load.
it.each([
	{requests: 1, expected: 1 / 11},
	{requests: 10, expected: 0.5},
	{requests: 990, expected: 0.99},
])('takes a part of all of $requests requests for a share of $expected', ({requests, expected}) => {
	const shares = new PartShares();
	for (let index = 0; index < requests; index++) {
		shares.record('p', 500, 0);
	}

	expect(shares.share('p', 0)).toBeCloseTo(expected, 5);
	expect(shares.share('other', 0)).toBe(0);
});

// Guards against a share that follows a change of the load too late, and against sums that grow without a bound in a long run.
it.each([0, 1e6, 1e9])('follows a change of the load from %i ms on', start => {
	const shares = new PartShares();
	const play = (part: string, from: number) => {
		for (let index = 0; index < 400; index++) {
			shares.record(part, 100, from + (index * 100));
		}
	};

	shares.record('first', 100, 0);
	play('old', start);
	play('new', start + 40_000);
	expect(shares.share('new', start + 80_000)).toBeGreaterThan(0.75);
	expect(shares.share('old', start + 80_000)).toBeLessThan(0.1);
	expect(shares.share('first', start + 80_000)).toBeLessThan(0.1);
});

// Guards against memory that grows with the number of different parts, and against forgetting the parts with the most work.
it('keeps the parts with the most work', () => {
	const shares = new PartShares();
	for (let index = 0; index < 20_000; index++) {
		shares.record(index % 2 === 0 ? 'popular' : `p${index}`, 10, index);
	}

	expect(shares.size).toBeLessThanOrEqual(1000);
	expect(shares.share('popular', 20_000)).toBeGreaterThan(0.4);
});

// Guards against shares that are no number for good after one request, and before the first with work.
it.each([Number.NaN, Infinity, -Infinity, -1, 0, 1e300])('does not count work of %d', work => {
	const shares = new PartShares();
	shares.record('p', work, 0);
	expect(shares.share('p', 0)).toBe(0);
	for (let index = 0; index < 10; index++) {
		shares.record('p', 500, 0);
	}

	shares.record('p', work, 0);
	expect(shares.share('p', 0)).toBeCloseTo(0.5, 5);
});
