import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {LoadAwareCascade} from './load-aware-cascade.js';
import {type ModelContext} from './model-policy.js';
import {type Route} from './routing-config.js';

const targetMs = 1500;
/** Time in milliseconds that an engine takes for a run of each model. */
const workMs = {small: 6, large: 60} as const;

const route = {name: 'r', models: ['small', 'middle', 'large'], targetLatencyMs: targetMs} as unknown as Route;

type Policy = Pick<LoadAwareCascade, 'escalate' | 'observe'>;

/** Asks the largest model for each doubtful answer, whatever the load. */
const always: Policy = {
	escalate: (_context, model, confidence) => model === 'small' && confidence < 55 ? 'large' : undefined,
	observe: () => undefined,
};

/**
Plays requests that arrive at random at one engine, which serves one run after the other.

@returns the share of callers that got an answer in time.
*/
function play(policy: Policy, perSecond: number, seed: number): number {
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

// Guards against an overload by the largest model that makes the answers of all callers late. One engine carries about
// 25 requests a second when every doubtful answer is asked again, and 160 when none is.
it.each([
	{perSecond: 10, alwaysAtLeast: 0.99},
	{perSecond: 40, alwaysAtMost: 0.2},
	{perSecond: 100, alwaysAtMost: 0.2},
])('keeps answers in time at $perSecond requests a second', ({perSecond, alwaysAtLeast, alwaysAtMost}) => {
	for (const seed of [1, 2, 3]) {
		expect(play(new LoadAwareCascade(55, 2), perSecond, seed)).toBeGreaterThan(0.9);
		const withoutLoad = play(always, perSecond, seed);
		expect(withoutLoad).toBeGreaterThanOrEqual(alwaysAtLeast ?? 0);
		expect(withoutLoad).toBeLessThanOrEqual(alwaysAtMost ?? 1);
	}
});

// Guards against a policy that stays with the smallest model after the load is gone.
it('asks the largest model again after a pause', () => {
	const policy = new LoadAwareCascade(55, 2);
	const at = (now: number): ModelContext => ({
		route, generation: undefined as never, now, elapsedMs: 50,
	});
	policy.observe(at(0), 'large', 3000);
	expect(policy.escalate(at(10), 'small', 10)).toBeUndefined();
	expect(policy.escalate(at(4000), 'small', 10)).toBe('large');
});
