import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type AttemptOutcome} from './attempt-outcome.js';
import {type PlanContext, type VersionCandidate} from './cascade-policy.js';
import {LearningCascadePolicy} from './learning-cascade-policy.js';
import {defaultLearningSettings} from './learning-settings.js';

const candidates: VersionCandidate[] = [
	{ref: 'small@1', inputCost: 1, outputCost: 5},
	{ref: 'medium@1', inputCost: 4, outputCost: 20},
	{ref: 'large@1', inputCost: 16, outputCost: 80},
];
const context: PlanContext = {
	service: 's', requestClass: 'c', urgency: 'normal', deadlineMs: 60_000, inputTokens: 500, maxTokens: 500, candidates,
	qualityTarget: 0.9, qualityConfidence: 0.95, ratingAvailable: true,
};

/** Answer of a version with the given confidence. */
function outcome(ref: string, index: number, confidence: number, more: Partial<AttemptOutcome> = {}): AttemptOutcome {
	return {
		attemptId: `${ref}-${index}`, service: 's', requestClass: 'c', ref, step: 0, result: 'answered', confidence, ratingProbability: 1,
		inputTokens: 500, outputTokens: 200, firstTokenMs: 300, betweenTokensMs: 10, ...more,
	};
}

/** Records explorations: answers of `small@1` are good from a confidence of 0.8, those of the other versions always. */
function train(policy: LearningCascadePolicy, count = 400): void {
	for (let index = 0; index < count; index++) {
		const confidence = 0.5 + (0.49 * (index % 20) / 19);
		const answers = [
			outcome('small@1', index, confidence, {delivered: false}),
			outcome('medium@1', index, 0.95, {
				delivered: false, step: 1, unconditional: true, earlier: [{ref: 'small@1', confidence}],
			}),
			outcome('large@1', index, 0.98, {step: 2, unconditional: true, earlier: [{ref: 'small@1', confidence}, {ref: 'medium@1', confidence: 0.95}]}),
		];
		for (const answer of answers) {
			policy.observe(answer);
			policy.observe({...answer, rating: answer.ref === 'small@1' && confidence < 0.8 ? 0.2 : 0.97});
		}
	}
}

async function trainedPolicy(): Promise<{policy: LearningCascadePolicy; clock: ManualClock}> {
	const clock = new ManualClock();
	const policy = new LearningCascadePolicy(clock, defaultLearningSettings);
	train(policy);
	policy.plan(context);
	await clock.advance(60_000);
	return {policy, clock};
}

describe('LearningCascadePolicy', () => {
	// Guards against delivering answers of versions that have not been rated.
	it('uses the most expensive version, or an exploration that ends with it, before any rating', () => {
		const policy = new LearningCascadePolicy(new ManualClock(), defaultLearningSettings);
		expect(policy.plan(context).steps.at(-1)!.ref).toBe('large@1');
		expect(policy.plan({...context, urgency: 'urgent'}).steps.map(({ref}) => ref)).toEqual(['large@1']);
	});

	// Guards against using expensive versions although answers of the cheap one are good above some confidence.
	it('learns a threshold between the good and the bad answers of the cheapest version', async () => {
		const {policy} = await trainedPolicy();
		const plan = policy.plan(context);
		expect(plan.steps.map(({ref}) => ref)).toEqual(['small@1', 'medium@1']);
		expect(plan.steps[0]!.minConfidence).toBeGreaterThan(0.5);
		expect(plan.steps[0]!.minConfidence).toBeLessThan(0.85);
	});

	// Guards against changed reason codes and against two steps where the plan must have one.
	it.each([
		['no candidate', {candidates: []}, [], 'no-candidate'],
		['a single candidate', {candidates: candidates.slice(1, 2)}, ['medium@1'], 'only-candidate'],
		['a pinned session', {pinned: 'large@1'}, ['large@1'], 'pinned'],
		['an urgent request', {urgency: 'urgent' as const}, ['medium@1'], 'urgent-direct'],
		['a deadline that two steps would break', {deadlineMs: 3000}, ['medium@1'], 'deadline-direct'],
		['no rating service', {ratingAvailable: false}, ['medium@1'], 'rating-unavailable'],
	])('plans for %s', async (_, change, refs, reason) => {
		const {policy} = await trainedPolicy();
		const plan = policy.plan({...context, ...change});
		expect({refs: plan.steps.map(({ref}) => ref), reason: plan.reason}).toEqual({refs, reason});
	});

	// Guards against plans with a version that the customer may not use, and against unbounded exploration.
	it('plans only candidates, explores at most the configured share, and never explores with urgent requests', () => {
		const request = fc.record({
			refs: fc.subarray(candidates), urgency: fc.constantFrom('urgent' as const, 'normal' as const, 'batch' as const), ratingAvailable: fc.boolean(), deadlineMs: fc.constantFrom(100, 60_000),
		});
		fc.assert(fc.property(fc.array(request, {minLength: 1, maxLength: 120}), fc.integer({min: 0, max: 5}), (requests, initial) => {
			const exploration = {initial, share: 0.1, pending: 1000};
			const policy = new LearningCascadePolicy(new ManualClock(), {...defaultLearningSettings, exploration});
			let explored = 0;
			for (const {refs, ...rest} of requests) {
				const plan = policy.plan({...context, ...rest, candidates: refs});
				expect(refs.map(({ref}) => ref)).toEqual(expect.arrayContaining(plan.steps.map(({ref}) => ref)));
				expect(plan.steps.length > 0).toBe(refs.length > 0);
				expect(rest.urgency === 'urgent' && plan.reason === 'explore').toBe(false);
				explored += plan.reason === 'explore' ? 1 : 0;
			}

			expect(explored).toBeLessThanOrEqual(initial + (0.1 * requests.length));
		}), {seed: 1, numRuns: 60});
	});

	// Guards against counting a repeated rating twice and against losing the estimates at a restart.
	it('ignores repeated ratings and continues from exported estimates', async () => {
		const {policy, clock} = await trainedPolicy();
		const before = JSON.stringify(policy.exportEstimates());
		policy.observe({...outcome('small@1', 399, 0.9), rating: 0});
		expect(JSON.stringify(policy.exportEstimates())).toBe(before);
		const restarted = new LearningCascadePolicy(clock, defaultLearningSettings);
		restarted.importEstimates(JSON.parse(before) as ReturnType<typeof policy.exportEstimates>);
		expect(restarted.plan(context).steps.map(({ref}) => ref)).toEqual(['small@1', 'medium@1']);
	});
});
