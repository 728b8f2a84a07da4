import {expect, it} from 'vitest';
import {type GivenUpPeer, HeldBytes, heldKind} from './held-bytes.js';

function open(limit: number) {
	const held = new HeldBytes(limit);
	const givenUp: string[] = [];
	const events: GivenUpPeer[] = [];
	held.onGivenUp(event => {
		events.push(event);
	});
	const part = (peer: string, id = peer) => held.open(peer, peer, () => {
		givenUp.push(id);
	});
	return {
		held, givenUp, events, part,
	};
}

type Step = readonly [part: string, bytes: number];

// Guards against a process that exceeds its memory limit, and against giving up a peer that costs little for one that costs much.
it.each<{name: string; steps: readonly Step[]; givenUp: readonly string[]; total: number}>([
	{
		name: 'nobody at the limit', steps: [['a', 60], ['b', 40]], givenUp: [], total: 100,
	},
	{
		name: 'the peer that holds most, not the one that exceeds the limit', steps: [['a', 60], ['b', 40], ['c', 1]], givenUp: ['a'], total: 41,
	},
	{
		name: 'the peer that exceeds the limit, if it holds most', steps: [['a', 40], ['b', 61]], givenUp: ['b'], total: 40,
	},
	{
		name: 'all parts of a peer whose sum is the largest', steps: [['a', 45], ['b1', 30], ['b2', 30]], givenUp: ['b1', 'b2'], total: 45,
	},
	{
		name: 'several peers if one is not enough', steps: [['a', 30], ['b', 30], ['c', 30], ['d', 29], ['e', 28]], givenUp: ['a', 'b'], total: 87,
	},
	{
		name: 'nobody after bytes were returned', steps: [['a', 60], ['a', 10], ['b', 80]], givenUp: [], total: 90,
	},
])('gives up $name', ({steps, givenUp, total}) => {
	const {held, part, ...seen} = open(100);
	const parts = new Map<string, ReturnType<typeof part>>();
	for (const [id, bytes] of steps) {
		if (!parts.has(id)) {
			parts.set(id, part(id[0]!, id));
		}

		parts.get(id)!.set(bytes);
	}

	expect(seen.givenUp).toEqual(givenUp);
	expect(held.total).toBe(total);
});

// Guards against bytes that stay counted, or are returned twice, after their part has ended.
it('counts a part until it is disposed or given up', () => {
	const {held, part, events} = open(100);
	const [first, second] = [part('a'), part('b')];
	first.set(50);
	first.dispose();
	first.dispose();
	first.set(70);
	expect(held.total).toBe(0);
	second.set(120);
	second.set(130);
	second.dispose();
	expect(held.total).toBe(0);
	expect(events).toEqual([{peer: 'b', bytes: 120, total: 120}]);
	part('b').set(10);
	expect(held.total).toBe(10);
});

// Guards against a log that does not tell which kind of bytes fills the memory.
it('counts the bytes of each kind', () => {
	const held = new HeldBytes(100);
	const request = held.open('a', 'a', () => undefined);
	const answer = held.open('a', 'a', () => undefined, heldKind.unsentAnswer);
	request.set(30);
	answer.set(50);
	request.set(20);
	expect(Object.fromEntries(held.byKind)).toEqual({request: 20, 'unsent-answer': 50});
	answer.set(90);
	expect(Object.fromEntries(held.byKind)).toEqual({request: 0, 'unsent-answer': 0});
});
