import fc from 'fast-check';
import {expect, it} from 'vitest';
import {PrefixHolder, PrefixIndex} from './prefix-index.js';

const event = (sequence: number, stored: readonly number[] = [], evicted: readonly number[] = []) => ({sequence, stored, evicted});

function depth(index: PrefixIndex, holder: PrefixHolder, hashes: readonly number[], now = 0): number {
	index.match(hashes, now);
	return index.depthOf(holder);
}

// Guards against false hits after reordered, repeated or lost events.
it.each([
	['the longest prefix counts', [event(1, [1, 2, 3])], 3],
	['an eviction shortens the prefix', [event(1, [1, 2, 3]), event(2, [], [3])], 2],
	['a late event stores nothing', [event(2, [1]), event(1, [1, 2, 3])], 1],
	['a late event still evicts', [event(2, [1, 2, 3]), event(1, [], [3])], 2],
	['a repeated event changes nothing', [event(1, [1, 2]), event(1, [1, 2, 3])], 2],
])('%s', (_, events, expected) => {
	const index = new PrefixIndex();
	const holder = new PrefixHolder('x');
	for (const item of events) {
		index.applyEvent(holder, item, 0);
	}

	expect(depth(index, holder, [1, 2, 3, 4])).toBe(expected);
});

// Guards against full trust in a server whose evictions were lost.
it('reduces the trust at a gap and regains it with each event in order', () => {
	const index = new PrefixIndex();
	const holder = new PrefixHolder('x');
	index.applyEvent(holder, event(1), 0);
	index.applyEvent(holder, event(2), 0);
	expect(holder.trust).toBe(1);
	index.applyEvent(holder, event(9), 0);
	expect(holder.trust).toBe(0.5);
	index.applyEvent(holder, event(10), 0);
	expect(holder.trust).toBeCloseTo(0.55);
});

// Guards against hits on a dead incarnation and on entries that have not been refreshed recently.
it('ignores entries that are old or belong to a dead incarnation', () => {
	const index = new PrefixIndex(100, 10, 1000);
	const holder = new PrefixHolder('x');
	index.store(holder, [1], 0);
	expect([depth(index, holder, [1], 1000), depth(index, holder, [1], 1001)]).toEqual([1, 0]);
	index.store(holder, [1], 2000);
	holder.isLive = false;
	expect(depth(index, holder, [1], 2000)).toBe(0);
});

// Guards against unbounded memory and against a size that differs from the content.
it('stays within its limits and keeps the latest prefix', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(3), fc.nat(30), fc.boolean()), {maxLength: 200}), steps => {
		const index = new PrefixIndex(20, 2);
		const holders = Array.from({length: 4}, () => new PrefixHolder('x'));
		let sequence = 0;
		for (const [server, hash, isStored] of steps) {
			const holder = holders[server]!;
			index.applyEvent(holder, isStored ? event(++sequence, [hash]) : event(++sequence, [], [hash]), sequence);
			expect(depth(index, holder, [hash], sequence)).toBe(isStored ? 1 : 0);
			expect(index.size).toBeLessThanOrEqual(20);
		}

		const pairs = Array.from({length: 31}, (_, hash) => holders.filter(holder => depth(index, holder, [hash], sequence) === 1).length);
		expect(index.size).toBe(pairs.reduce((sum, count) => sum + count, 0));
	}), {seed: 11, numRuns: 200});
});
