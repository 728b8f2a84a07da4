import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {LoadAwareCascade} from './load-aware-cascade.js';
import {type ModelContext} from './model-policy.js';
import {type Route} from './routing-config.js';

const targetMs = 1500;
/** Time in milliseconds that an engine takes for one answer of each model. */
const workMs = {small: 6, large: 60} as const;

const route = {name: 'r', models: ['small', 'middle', 'large'], targetLatencyMs: targetMs} as unknown as Route;

type Policy = Pick<LoadAwareCascade, 'escalate' | 'observe'>;

/** Escalates each answer with a low confidence, whatever the load. */
const alwaysEscalate: Policy = {
	escalate: (_context, model, confidence) => model === 'small' && confidence < 55 ? 'large' : undefined,
	observe: () => undefined,
};

/**
Simulates requests that arrive at random at one engine, which serves one at a time.

@returns the share of requests that were answered in time.
*/
function simulate(policy: Policy, perSecond: number, seed: number): number {
	const random = new SeededRandom(seed);
	const count = 3000;
	let now = 0;
	let freeAt = 0;
	let onTime = 0;
	const pending: Array<{at: number; run: () => void}> = [];
	const context = (start: number): ModelContext => ({
		route, generation: undefined as never, now, elapsedMs: now - start,
	});
	const serve = (model: keyof typeof workMs, done: () => void) => {
		freeAt = Math.max(freeAt, now) + workMs[model];
		pending.push({at: freeAt, run: done});
	};

	const arrive = () => {
		const start = now;
		serve('small', () => {
			policy.observe(context(start), 'small', now - start);
			const larger = policy.escalate(context(start), 'small', random.next() * 100);
			const sentAt = now;
			const finish = () => {
				onTime += now - start <= targetMs ? 1 : 0;
			};

			if (larger) {
				serve('large', () => {
					policy.observe(context(start), 'large', now - sentAt);
					finish();
				});
			} else {
				finish();
			}
		});
	};

	let arrived = 0;
	let nextAt = 0;
	while (arrived < count || pending.length > 0) {
		pending.sort((one, other) => one.at - other.at);
		if (arrived < count && (pending.length === 0 || nextAt <= pending[0]!.at)) {
			now = nextAt;
			arrived++;
			nextAt += -Math.log(1 - random.next()) * 1000 / perSecond;
			arrive();
			continue;
		}

		const {at, run} = pending.shift()!;
		now = at;
		run();
	}

	return onTime / count;
}

// Guards against an overload by the largest model that makes all answers late. One engine serves about 25 requests a second
// when every answer with a low confidence is escalated, and 160 when none is.
it.each([
	{perSecond: 10, alwaysAtLeast: 0.99},
	{perSecond: 40, alwaysAtMost: 0.2},
	{perSecond: 100, alwaysAtMost: 0.2},
])('keeps answers on time at $perSecond requests a second', ({perSecond, alwaysAtLeast, alwaysAtMost}) => {
	for (const seed of [1, 2, 3]) {
		expect(simulate(new LoadAwareCascade(55, 2), perSecond, seed)).toBeGreaterThan(0.9);
		const alwaysOnTime = simulate(alwaysEscalate, perSecond, seed);
		expect(alwaysOnTime).toBeGreaterThanOrEqual(alwaysAtLeast ?? 0);
		expect(alwaysOnTime).toBeLessThanOrEqual(alwaysAtMost ?? 1);
	}
});

// Guards against a policy that never escalates again after an overload.
it('escalates again some time after a slow answer of the largest model', () => {
	const policy = new LoadAwareCascade(55, 2);
	const at = (now: number): ModelContext => ({
		route, generation: undefined as never, now, elapsedMs: 50,
	});
	policy.observe(at(0), 'large', 3000);
	expect(policy.escalate(at(10), 'small', 10)).toBeUndefined();
	expect(policy.escalate(at(4000), 'small', 10)).toBe('large');
});
