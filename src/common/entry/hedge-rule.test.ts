import {expect, it} from 'vitest';
import {shouldHedge, type HedgeConditions} from './hedge-rule.js';

const conditions: HedgeConditions = {
	idempotent: true, firstToken: false, running: 1, waitedMs: 300, firstTokenP95Ms: 300, remainingMs: 1000, hasBudget: true,
};

// Guards against hedges that repeat a non-idempotent request, exceed the retry budget or are not needed.
it.each<[string, Partial<HedgeConditions>, boolean]>([
	['at the p95', {}, true],
	['before the p95', {waitedMs: 299}, false],
	['not idempotent', {idempotent: false}, false],
	['first token received', {firstToken: true}, false],
	['hedge already running', {running: 2}, false],
	['p95 unknown', {firstTokenP95Ms: undefined}, false],
	['no time left', {remainingMs: 0}, false],
	['retry budget exhausted', {hasBudget: false}, false],
])('decides whether to hedge: %s', (_, changes, expected) => {
	expect(shouldHedge({...conditions, ...changes})).toBe(expected);
});
