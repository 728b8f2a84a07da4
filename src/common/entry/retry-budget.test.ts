import {expect, it} from 'vitest';
import {RetryBudget} from './retry-budget.js';

// Guards against retries that multiply the load of a failing system.
it.each([
	[0, 10],
	[100, 20],
	[1000, 110],
	[10_000, 1010],
])('allows one retry for every ten of %i failing requests, plus the saved retries', (requests, expected) => {
	const budget = new RetryBudget();
	const takeAll = () => Array.from({length: 20}, () => budget.take()).filter(Boolean).length;
	let retries = takeAll();
	for (let count = 0; count < requests; count++) {
		budget.recordRequest();
		retries += takeAll();
	}

	expect(retries).toBe(expected);
});

// Guards against a large number of retries saved up during a period of low load.
it('bounds the saved retries', () => {
	const budget = new RetryBudget();
	for (let count = 0; count < 1000; count++) {
		budget.recordRequest();
	}

	expect(budget.available).toBe(10);
});
