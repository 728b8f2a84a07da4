import process from 'node:process';
import {cac} from 'cac';
import {violationKinds} from './check-run.js';
import {plantedFaults} from './planted-faults.js';
import {runSeed, type SeedResult} from './run-seed.js';

type Flags = {seeds: number; firstSeed: number; plant?: string; verbose?: boolean};

function readFlags(): Flags | undefined {
	const cli = cac('faults');
	cli.option('--seeds <count>', 'Seeds to run', {default: 10});
	cli.option('--first-seed <seed>', 'First seed', {default: 1});
	cli.option('--plant <name>', `Plant a fault: ${Object.keys(plantedFaults).join(', ')}`);
	cli.option('--verbose', 'Print each seed');
	cli.help();
	const {options} = cli.parse(process.argv, {run: false});
	const flags = options as Record<string, unknown> & Flags;
	const isCount = (value: unknown) => Number.isSafeInteger(value) && Number(value) >= 0;
	if (!isCount(flags.seeds) || !isCount(flags.firstSeed) || (flags.plant !== undefined && !(flags.plant in plantedFaults))) {
		process.stderr.write('faults: --seeds and --first-seed must be whole numbers and --plant a known name; see --help\n');
		process.exitCode = 2;
		return undefined;
	}

	return flags.help ? undefined : flags;
}

function printSeed({seed, violations, answered, operations, tries, inForceMs, faults}: SeedResult, isVerbose: boolean): void {
	if (isVerbose || violations.length > 0) {
		process.stdout.write(`seed ${seed}: ${answered} of ${operations} answered in ${tries} tries, in force within ${Math.round(inForceMs)} ms\n`);
	}

	for (const {kind, details} of violations) {
		process.stdout.write(`  ${kind}: ${details}\n`);
	}

	if (violations.length > 0) {
		process.stdout.write(`  faults: ${faults.join('; ')}\n`);
	}
}

async function main({seeds, firstSeed, plant, verbose = false}: Flags): Promise<void> {
	const counts = new Map<string, number>(violationKinds.map(kind => [kind, 0]));
	let answered = 0;
	let operations = 0;
	let inForceMs = 0;
	for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
		// eslint-disable-next-line no-await-in-loop -- seeds run one after another
		const result = await runSeed(seed, plant === undefined ? undefined : plantedFaults[plant]);
		printSeed(result, verbose);
		answered += result.answered;
		operations += result.operations;
		inForceMs = Math.max(inForceMs, result.inForceMs);
		for (const {kind} of result.violations) {
			counts.set(kind, counts.get(kind)! + 1);
		}
	}

	const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
	const text = [...counts].map(([kind, count]) => `${kind} ${count}`).join(', ');
	process.stdout.write(`longest time to in force ${Math.round(inForceMs)} ms; ${answered} of ${operations} operations answered\n`);
	process.stdout.write(`${seeds} seeds, ${total} violations: ${text}\n`);
	process.exitCode = total > 0 ? 1 : 0;
}

const flags = readFlags();
if (flags) {
	await main(flags);
}
