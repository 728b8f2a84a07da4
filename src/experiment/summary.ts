import {type OracleResult} from './oracle.js';
import {type ReplayResult} from './replay-result.js';
import {formatTable} from './table.js';

/** Results of all policies on the trace of one seed. */
export interface SeedResult {
	readonly seed: number;
	readonly oracle: OracleResult;
	/** Cost of the policy `dearest` on the same trace, if it ran. */
	readonly dearestCost?: number;
	readonly results: readonly ReplayResult[];
}

const urgencies = ['urgent', 'normal', 'batch'];

/** Table of the policies with means over the seeds, and with the worst seed for cost, quality and exposure. */
export function summarize(seeds: readonly SeedResult[], target: number): string {
	const names = seeds[0]!.results.map(({policy}) => policy);
	const header = ['policy', 'cost/oracle', 'worst', 'cost/dearest', 'worst', 'quality', '±95%', 'worst', 'met', 'exposure', 'worst', 'discarded', 'explored', 'rated', 'failed'];
	const oracleQuality = mean(seeds.map(({oracle}) => oracle.quality));
	const oracleToDearest = ratio(seeds.map(({oracle, dearestCost}) => oracle.cost / (dearestCost ?? Number.NaN)));
	const oracleRow = ['oracle', '1.000', '1.000', oracleToDearest, '', oracleQuality.toFixed(4), '', '', `${seeds.length}/${seeds.length}`];
	oracleRow.push('0', '0', '0.0 %', '0.0 %', '0.0 %', '0.0');
	return formatTable([header, ...names.map(name => policyRow(name, seeds, target)), oracleRow]);
}

/** Table of the time to first token in milliseconds, over all seeds together. */
export function summarizeLatency(seeds: readonly SeedResult[]): string {
	const names = seeds[0]!.results.map(({policy}) => policy);
	const header = ['first token, ms', ...urgencies.flatMap(urgency => [`${urgency} p50`, 'p95', 'p99'])];
	return formatTable([header, ...names.map(name => [name, ...urgencies.flatMap(urgency => latencies(name, urgency, seeds))])]);
}

function policyRow(name: string, seeds: readonly SeedResult[], target: number): string[] {
	const runs = seeds.map(seed => ({...seed, result: seed.results.find(({policy}) => policy === name)!}));
	const toOracle = runs.map(({result, oracle}) => result.cost / oracle.cost);
	const toDearest = runs.map(({result, dearestCost}) => result.cost / (dearestCost ?? Number.NaN));
	const qualities = runs.map(({result}) => result.quality);
	const exposures = runs.map(({result}) => result.exposure);
	const share = (pick: (result: ReplayResult) => number) => `${(100 * mean(runs.map(({result}) => pick(result)))).toFixed(1)} %`;
	return [
		name,
		ratio(toOracle),
		Math.max(...toOracle).toFixed(3),
		ratio(toDearest),
		Math.max(...toDearest).toFixed(3),
		mean(qualities).toFixed(4),
		mean(runs.map(({result}) => result.qualityInterval)).toFixed(4),
		Math.min(...qualities).toFixed(4),
		`${qualities.filter(quality => quality >= target).length}/${qualities.length}`,
		mean(exposures).toFixed(0),
		Math.max(...exposures).toFixed(0),
		share(({discardedCost, cost}) => discardedCost / cost),
		share(({explored, requests}) => explored / requests),
		share(({ratings, requests}) => ratings / requests),
		mean(runs.map(({result}) => result.failed)).toFixed(1),
	];
}

function latencies(name: string, urgency: string, seeds: readonly SeedResult[]): string[] {
	const histograms = seeds.flatMap(({results}) => results.find(({policy}) => policy === name)?.firstToken.get(urgency) ?? []);
	const [first, ...others] = histograms;
	if (!first) {
		return ['', '', ''];
	}

	const total = first.copyCorrectedForCoordinatedOmission(0);
	for (const other of others) {
		total.add(other);
	}

	return [50, 95, 99].map(percentile => String(total.getValueAtPercentile(percentile)));
}

function ratio(values: readonly number[]): string {
	return mean(values).toFixed(3);
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
