import fc from 'fast-check';
import {expect, it} from 'vitest';
import {type Urgency} from '../documents/urgency.js';
import {FairQueue, type QueueItem} from './fair-queue.js';

const item = (flow: string, urgency: Urgency = 'normal', weight = 1, cost = 1000): QueueItem => ({
	flow, urgency, weight, cost,
});

/** Serves the given number of requests, adds each one again, and sums the served cost by flow or urgency. */
function served(queue: FairQueue<QueueItem>, sources: readonly QueueItem[], count: number, by: 'flow' | 'urgency'): Record<string, number> {
	const sums: Record<string, number> = {};
	for (const source of sources) {
		queue.add(source, 0);
		queue.add(source, 0);
	}

	for (let index = 0; index < count; index++) {
		const next = queue.shift(0)!;
		sums[next[by]] = (sums[next[by]] ?? 0) + next.cost;
		queue.add(next, 0);
	}

	return sums;
}

// Guards against a queue that ignores urgency within the fair share.
it('serves urgent before normal before batch', () => {
	const queue = new FairQueue<QueueItem>();
	for (const urgency of ['batch', 'normal', 'urgent'] as const) {
		queue.add(item('a', urgency), 0);
	}

	expect([queue.shift(0)?.urgency, queue.shift(0)?.urgency, queue.shift(0)?.urgency, queue.shift(0)]).toEqual(['urgent', 'normal', 'batch', undefined]);
});

// Guards against a flow that gets more than its share because its requests are large, many or marked urgent.
it.each([
	['equal weights', [item('a'), item('b')], 0.5],
	['weights 3 and 1', [item('a', 'normal', 3), item('b')], 0.75],
	['large against small requests', [item('a', 'normal', 1, 4000), item('b', 'normal', 1, 500)], 0.5],
	['urgent against batch', [item('a', 'urgent'), item('b', 'batch')], 0.5],
	['urgent and large against batch with a greater weight', [item('a', 'urgent', 1, 4000), item('b', 'batch', 4)], 0.2],
])('gives each flow its share: %s', (_, sources, share) => {
	const sums = served(new FairQueue(), sources, 3000, 'flow');
	expect(sums.a! / (sums.a! + sums.b!)).toBeCloseTo(share, 1);
});

// Guards against starvation of batch requests by urgent requests of the same flow.
it('gives each urgency with queued requests its minimum share', () => {
	const sums = served(new FairQueue(), [item('a', 'urgent'), item('a', 'normal'), item('a', 'batch')], 2000, 'urgency');
	expect(sums.normal! / 2_000_000).toBeCloseTo(0.1, 1);
	expect(sums.batch! / 2_000_000).toBeGreaterThan(0.04);
});

// Guards against penalizing a flow for using capacity for which no other flow had demand.
it('does not charge a flow for capacity that no other flow needs', () => {
	const queue = new FairQueue<QueueItem>();
	for (let index = 0; index < 500; index++) {
		queue.add(item('a'), 0);
		queue.shift(0);
	}

	// The other flow may first use its unused share, up to the credit.
	const sums = served(queue, [item('a'), item('b')], 200, 'flow');
	expect(sums.a).toBeGreaterThan(85_000);
});

// Guards against shedding the wrong request when the queue is full.
it('sheds the newest of the least urgent requests of the longest flow', () => {
	const queue = new FairQueue<QueueItem>();
	const last = item('a', 'batch');
	for (const next of [item('b', 'batch'), item('a', 'batch'), last, item('a', 'urgent')]) {
		queue.add(next, 0);
	}

	expect(queue.shedCandidate()).toBe(last);
	expect([queue.remove(last, 0), queue.remove(last, 0)]).toEqual([true, false]);
});

// Guards against a wrong wait estimate, which would cause refusals of requests that could start in time.
it.each([
	['an urgent request is served before the others', item('b', 'urgent'), 0],
	['a normal request waits for urgent and normal ones', item('b'), 2000],
	['the fair share of an idle flow bounds the wait', item('b', 'batch', 1), 0],
])('estimates the cost served before a request: %s', (_, next, expected) => {
	const queue = new FairQueue<QueueItem>();
	for (const urgency of ['normal', 'normal', 'batch'] as const) {
		queue.add(item('a', urgency), 0);
	}

	if (next.urgency === 'normal') {
		queue.add(item('b'), 0);
	}

	expect(queue.costAhead(next)).toBe(expected);
});

// Guards against a size or cost that does not match the queued requests.
it('keeps size and cost correct for any order of operations', () => {
	const anyStep = fc.tuple(fc.constantFrom('push', 'shift', 'remove', 'shed'), fc.nat(4), fc.constantFrom<Urgency>('urgent', 'normal', 'batch'), fc.integer({min: 1, max: 5000}));
	fc.assert(fc.property(fc.array(anyStep), steps => {
		const queue = new FairQueue<QueueItem>();
		const content = new Set<QueueItem>();
		for (const [step, flow, urgency, cost] of steps) {
			if (step === 'push') {
				const next = item(`f${flow}`, urgency, 1 + flow, cost);
				queue.add(next, 0);
				content.add(next);
			} else {
				const next = step === 'shift' ? queue.shift(0) : (step === 'shed' ? queue.shedCandidate() : [...content].at(flow % Math.max(1, content.size)));
				expect(next === undefined).toBe(content.size === 0);
				if (next && step !== 'shift') {
					expect(queue.remove(next, 0)).toBe(true);
				}

				content.delete(next!);
			}

			expect([queue.size, queue.cost]).toEqual([content.size, [...content].reduce((sum, next) => sum + next.cost, 0)]);
		}
	}), {seed: 12, numRuns: 300});
});
