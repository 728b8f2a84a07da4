/**
Measures the selection of backend servers with simulated engines: time to first token compared with an unloaded system and with
baseline selectors. Arguments: number of seeds (default 20), first seed (default 1001; seeds below 1000 are for tuning) and
name of the only scenario to measure (default all).
*/
import process from 'node:process';
import {
	engineCapacity, runScenario, scenarios, selectorFactories,
} from './model/selection-run.js';
import {mean} from './model/statistics.js';
import {commonShape, sharedShape, type TrafficShape} from './model/traffic.js';

const unloadedLoad = 0.05;
const unloadedP95Cache = new Map<string, number>();

/** P95 of the time to first token of urgent requests with nine entry hosts and equal engines at 5 % load. */
function unloadedP95(shape: TrafficShape, seed: number): number {
	const key = `${seed} ${shape.sharedPrefixShare}`;
	const p95 = unloadedP95Cache.get(key) ?? runScenario({...scenarios.find(({name}) => name === '9 entry hosts')!, shape}, selectorFactories['load-aware']!, unloadedLoad, seed).urgentP95;
	unloadedP95Cache.set(key, p95);
	return p95;
}

const seedCount = Number(process.argv[2] ?? 20);
const firstSeed = Number(process.argv[3] ?? 1001);
const nameFilter = process.argv[4];
const seeds = Array.from({length: seedCount}, (_, index) => firstSeed + index);
console.log(`seeds ${firstSeed} to ${firstSeed + seedCount - 1}`);
console.log(`capacity of an engine: ${engineCapacity(commonShape).toFixed(2)} requests/s, with shared prefixes ${engineCapacity(sharedShape).toFixed(2)}`);
console.log('| scenario | selector | urgent p95 ms, mean (worst) | ratio to unloaded, mean (worst) | all p95 ms | seeds worse than two choices | unanswered |');
console.log('|---|---|---|---|---|---|---|');
for (const scenario of scenarios.filter(({name}) => !nameFilter || name === nameFilter)) {
	const unloaded = seeds.map(seed => unloadedP95(scenario.shape, seed));
	const reference = seeds.map(seed => runScenario(scenario, selectorFactories['two choices']!, 0.8, seed));
	for (const [name, createSelector] of Object.entries(selectorFactories)) {
		const results = name === 'two choices' ? reference : seeds.map(seed => runScenario(scenario, createSelector, 0.8, seed));
		const p95 = results.map(result => result.urgentP95);
		const ratios = p95.map((value, index) => value / unloaded[index]!);
		const worse = p95.filter((value, index) => value > reference[index]!.urgentP95).length;
		const unanswered = results.reduce((sum, result) => sum + result.unanswered, 0);
		console.log([
			'',
			scenario.name,
			name,
			`${mean(p95).toFixed(0)} (${Math.max(...p95).toFixed(0)})`,
			`${mean(ratios).toFixed(2)} (${Math.max(...ratios).toFixed(2)})`,
			mean(results.map(result => result.allP95)).toFixed(0),
			`${worse} of ${seeds.length}`,
			`${unanswered} of ${results.reduce((sum, result) => sum + result.requests, 0)}`,
			'',
		].join(' | ').trim());
	}
}
