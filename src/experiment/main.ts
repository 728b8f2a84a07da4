import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {failedExpectations} from './expectations.js';
import {exposureReport} from './exposure-report.js';
import {falseAlarmReport} from './false-alarm-report.js';
import {FlagError} from './flag-error.js';
import {parseFlags, type Flags} from './flags.js';
import {TraceGenerator} from './generate-trace.js';
import {plot} from './plot.js';
import {runSeed} from './run-seed.js';
import {scenarios} from './scenarios.js';
import {summarize, summarizeLatency, type SeedResult} from './summary.js';
import {parseTrace, formatTrace} from './trace-file.js';
import {TraceError} from './trace-error.js';
import {type Trace} from './trace.js';

function loadTrace({scenario}: Flags, seed: number): Trace {
	const known = scenarios[scenario];
	return known ? new TraceGenerator(known, seed).generate() : parseTrace(readFileSync(scenario, 'utf8'));
}

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function run(flags: Flags): number {
	const {scenario, seed, seeds, hosts} = flags;
	switch (scenario) {
		case 'exposure': {
			print(exposureReport(hosts === undefined ? [1, 9, 90, 370] : [hosts], seed, seeds));
			return 0;
		}

		case 'false-alarms': {
			print(falseAlarmReport(seed, seeds));
			return 0;
		}

		default: {
			return replayAll(flags, hosts ?? 9);
		}
	}
}

function replayAll(flags: Flags, hosts: number): number {
	const seeds: SeedResult[] = [];
	const failures: string[] = [];
	let target = 0;
	const fromFile = scenarios[flags.scenario] === undefined;
	for (let {seed} = flags; seed < flags.seed + (fromFile ? 1 : flags.seeds); seed++) {
		const trace = loadTrace(flags, seed);
		target = trace.header.qualityTarget;
		if (flags.write !== undefined) {
			writeFileSync(flags.write, formatTrace(trace));
		}

		const result = runSeed(trace, flags.policies, hosts, flags.warmHours);
		seeds.push(result);
		failures.push(...failedExpectations(trace.expectations, result.results, result.oracle));
		if (flags.plot !== undefined && seed === flags.seed) {
			writeFileSync(flags.plot, plot(`${trace.header.name}, seed ${seed}`, target, result.results));
		}
	}

	print(`${flags.scenario}: seeds ${flags.seed} to ${seeds.at(-1)!.seed}, ${hosts} entry hosts, ${flags.warmHours} h of earlier traffic, quality target ${target}\n`);
	print(summarize(seeds, target));
	print(`\n${summarizeLatency(seeds)}`);
	const [first] = seeds;
	for (const {policy, quarantines, reasons} of first!.results) {
		print(`\n${policy}, seed ${first!.seed}: ${[...reasons].map(([reason, count]) => `${reason} ${count}`).join(', ')}`);
		for (const quarantine of quarantines) {
			print(`  quarantined at ${quarantine}`);
		}
	}

	for (const failure of failures) {
		process.stderr.write(`expectation does not hold: ${failure}\n`);
	}

	return failures.length > 0 ? 1 : 0;
}

try {
	const flags = parseFlags(process.argv);
	process.exitCode = flags ? run(flags) : 0;
} catch (error) {
	if (!(error instanceof FlagError || error instanceof TraceError)) {
		throw error;
	}

	process.stderr.write(`${error.message}\n`);
	process.exitCode = 2;
}
