import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {LoadAwareCascade} from './load-aware-cascade.js';
import {type ModelContext} from './model-policy.js';
import {ModelSpeed} from './model-speed.js';
import {type Route} from './routing-config.js';

const targetMs = 1500;
const timeoutMs = 8000;
/** Time in milliseconds that an engine takes for one answer of each model. */
const workMs = {small: 6, large: 60} as const;

const route = {
	name: 'r', models: ['small', 'middle', 'large'], targetLatencyMs: targetMs, priority: 0,
} as unknown as Route;

const generation = {
	model: undefined, inputTokens: 1000, maxOutputTokens: 100, expectedOutputTokens: 50, parts: [],
};

/** Decides whether to ask the largest model. */
interface Policy {
	escalates(context: ModelContext, confidence: number, now: number): boolean;
	/** Records the time in milliseconds of an answer of the largest model. */
	observe(latencyMs: number, now: number): void;
}

/** Escalates each answer with a low confidence, whatever the load. */
const alwaysEscalate: Policy = {
	escalates: (_context, confidence) => confidence < 55,
	observe: () => undefined,
};

function loadAware(): Policy {
	const cascade = new LoadAwareCascade(55, 1);
	const speed = new ModelSpeed();
	return {
		escalates: (context, confidence, now) => cascade.larger(context, 'small', confidence) !== undefined && cascade.escalates(context, confidence, speed.expected(generation, now)),
		observe(latencyMs, now) {
			speed.recordFirstEvent(generation, latencyMs, now);
		},
	};
}

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
		route, generation, elapsedMs: now - start, remainingMs: timeoutMs - (now - start),
	});
	const serve = (model: keyof typeof workMs, done: () => void) => {
		freeAt = Math.max(freeAt, now) + workMs[model];
		pending.push({at: freeAt, run: done});
	};

	const arrive = () => {
		const start = now;
		serve('small', () => {
			const sentAt = now;
			const finish = () => {
				onTime += now - start <= targetMs ? 1 : 0;
			};

			if (policy.escalates(context(start), random.next() * 100, now)) {
				serve('large', () => {
					policy.observe(now - sentAt, now);
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
		expect(simulate(loadAware(), perSecond, seed)).toBeGreaterThan(0.9);
		const alwaysOnTime = simulate(alwaysEscalate, perSecond, seed);
		expect(alwaysOnTime).toBeGreaterThanOrEqual(alwaysAtLeast ?? 0);
		expect(alwaysOnTime).toBeLessThanOrEqual(alwaysAtMost ?? 1);
	}
});

// Guards against a policy that never escalates again after an overload.
it('escalates again some time after a slow answer of the largest model', () => {
	const policy = loadAware();
	const context: ModelContext = {
		route, generation, elapsedMs: 50, remainingMs: timeoutMs,
	};
	policy.observe(3000, 0);
	expect(policy.escalates(context, 10, 10)).toBe(false);
	expect(policy.escalates(context, 10, 12_000)).toBe(true);
});

// Guards against less urgent requests that take the largest model from more urgent ones under load.
it('escalates the most urgent requests up to a higher load', () => {
	const policy = loadAware();
	policy.observe(1000, 0);
	const escalates = [0, 1, 2].map(priority => policy.escalates({
		route: {...route, priority}, generation, elapsedMs: 0, remainingMs: timeoutMs,
	}, 25, 0));
	expect(escalates).toEqual([true, false, false]);
});
