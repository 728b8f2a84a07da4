import fc from 'fast-check';
import {expect, it} from 'vitest';
import {type ColdEvent, playColdLoad} from '../../testing/cold-simulation.js';

const windowMs = 1000;

/** Returns the largest number of times in a second, its ends included. */
function mostInSecond(times: readonly number[]): number {
	let most = 0;
	let first = 0;
	for (const [index, time] of times.entries()) {
		while (time - times[first]! > windowMs) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

const events = fc.array(fc.record<ColdEvent>({
	at: fc.integer({min: 0, max: 14_000}),
	kind: fc.constantFrom('join', 'leave', 'restart', 'cut', 'cut', 'heal', 'heal', 'cold-process', 'cold-again', 'warm'),
	pick: fc.nat(200),
}), {maxLength: 30});

// Guards against a cold server that gets more requests than it bears while hosts join, leave, restart or are cut off, each with a
// late view of the directory and a clock of its own.
it.each([
	{hosts: 3, numRuns: 60},
	{hosts: 9, numRuns: 60},
	{hosts: 79, numRuns: 12},
	{hosts: 370, numRuns: 3},
])('keeps the limit of a cold server with $hosts hosts', ({hosts, numRuns}) => {
	fc.assert(fc.property(fc.constantFrom(30.5, 32, 5, 2), fc.nat(1_000_000), events, (limit, seed, changes) => {
		const sent = playColdLoad({
			seed, hosts, limit, durationMs: 15_000, events: changes, isDelayed: true,
		});
		for (const times of sent.values()) {
			expect(mostInSecond(times)).toBeLessThanOrEqual(limit);
		}
	}), {seed: 7, numRuns});
}, 60_000);

// Guards against limits that leave most of what a cold server bears unused.
it.each([30.5, 32, 5, 2].flatMap(limit => [9, 79, 370].map(hosts => ({limit, hosts}))))('uses a limit of $limit with $hosts hosts', ({limit, hosts}) => {
	const sent = playColdLoad({
		seed: 1, hosts, limit, durationMs: 16_000, events: [], isDelayed: false,
	});
	const steady = sent.get(1)!.filter(time => time >= 6000);
	expect(steady.length / 10).toBeGreaterThanOrEqual(0.7 * limit);
});
