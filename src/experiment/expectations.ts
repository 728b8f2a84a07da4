import {type OracleResult} from './oracle.js';
import {type ReplayResult} from './replay-result.js';
import {type TraceExpectation} from './trace.js';

/** Metrics that an expectation may name. */
export const metrics: Readonly<Record<string, (result: ReplayResult, oracle: OracleResult) => number>> = {
	quality: ({quality}) => quality,
	cost: ({cost}) => cost,
	'cost-to-oracle': ({cost}, oracle) => cost / oracle.cost,
	'discarded-share': ({cost, discardedCost}) => discardedCost / cost,
	exposure: ({exposure}) => exposure,
	failed: ({failed}) => failed,
	quarantines: ({quarantines}) => quarantines.length,
	'explored-share': ({explored, requests}) => explored / requests,
	'urgent-first-token-p95': ({firstToken}) => firstToken.get('urgent')?.getValueAtPercentile(95) ?? 0,
	'normal-first-token-p95': ({firstToken}) => firstToken.get('normal')?.getValueAtPercentile(95) ?? 0,
};

/** One line for each expectation that does not hold. */
export function failedExpectations(expectations: readonly TraceExpectation[], results: readonly ReplayResult[], oracle: OracleResult): string[] {
	return expectations.flatMap(({name, policy, metric, atLeast, atMost}) => {
		const result = results.find(other => other.policy === policy);
		if (!result) {
			return [];
		}

		const measure = metrics[metric];
		if (!measure) {
			return [`${name}: there is no metric ${metric}`];
		}

		const value = measure(result, oracle);
		const low = atLeast !== undefined && !(value >= atLeast);
		const high = atMost !== undefined && !(value <= atMost);
		return low || high ? [`${name}: ${metric} of ${policy} is ${value.toPrecision(5)}, stated ${low ? `at least ${atLeast}` : `at most ${atMost}`}`] : [];
	});
}
