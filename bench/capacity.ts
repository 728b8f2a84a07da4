/**
Measures how cost grows with the size of the system and writes the tables of docs/CAPACITY.md.
Usage: npm run capacity [page]. The default page is docs/CAPACITY.md in the working directory.
*/
import {tmpdir} from 'node:os';
import process from 'node:process';
import {measureControl} from './capacity/control-samples.js';
import {measureEvidence} from './capacity/evidence-samples.js';
import {measureLedger} from './capacity/ledger-samples.js';
import {measureMachine} from './capacity/machine.js';
import {measureMemorySamples} from './capacity/memory-samples.js';
import {writeTables} from './capacity/page-tables.js';
import {measureSubsetPlans, measureSelection} from './capacity/selection-samples.js';
import {allTables} from './capacity/tables.js';
import {measureCommits} from './consensus-group.js';

const page = process.argv[2] ?? 'docs/CAPACITY.md';
const commitRunMs = 2500;
const start = performance.now();

async function step<Result>(name: string, action: () => Promise<Result> | Result): Promise<Result> {
	const begin = performance.now();
	const result = await action();
	process.stdout.write(`${name}: ${((performance.now() - begin) / 1000).toFixed(1)} s\n`);
	return result;
}

const machine = measureMachine();
const control = await step('control', measureControl);
const evidence = await step('evidence', measureEvidence);
const memory = await step('memory', measureMemorySamples);
const ledger = await step('ledger', measureLedger);
const selection = await step('selection', measureSelection);
const subsetPlans = await step('subsets', measureSubsetPlans);
const commits = await step('consensus', async () => {
	const results = [];
	for (const clients of [16, 64, 256, 1024]) {
		// eslint-disable-next-line no-await-in-loop -- one measurement at a time
		results.push(await measureCommits(tmpdir(), clients, commitRunMs));
	}

	return results;
});
await writeTables(page, allTables({
	machine: {...machine, loadAfter: measureMachine().load, seconds: (performance.now() - start) / 1000}, control, memory, evidence, ledger, selection, subsetPlans, commits,
}));
process.stdout.write(`tables written to ${page}\n`);
