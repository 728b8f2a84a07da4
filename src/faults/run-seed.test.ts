import {expect, it} from 'vitest';
import {type ViolationKind} from './check-run.js';
import {plantedFaults} from './planted-faults.js';
import {runSeed} from './run-seed.js';

// Guards against violations of the guarantees of the whole system under random faults; `npm run faults` runs more seeds.
it.each([[1], [2], [3], [4]])('keeps all guarantees with seed %i', async seed => {
	const {violations, answered, operations} = await runSeed(seed);
	expect(violations).toEqual([]);
	// A run with few answers would check little.
	expect(answered).toBeGreaterThan(operations * 0.8);
});

// Guards against checks that detect nothing.
it.each<[string, ViolationKind, number]>([
	['pins', 'session-change', 1],
	['bill', 'unbilled', 1],
	['keys', 'ran-twice', 1],
	['chunk', 'wrong-answer', 1],
	['ran', 'false-not-run', 3],
])('detects the planted fault %s as %s', async (plant, kind, seed) => {
	const {violations} = await runSeed(seed, plantedFaults[plant]);
	expect(violations.map(violation => violation.kind)).toContain(kind);
});
