/**
Measures admission control below, at and above the capacity of simulated engines.
Arguments: number of seeds (default 20), first seed (default 1001; seeds below 1000 are for tuning) and name of the only
admission controller to measure (default all).
*/
import process from 'node:process';
import {
	admissionFactories, evenCustomers, floodCustomers, runAdmission, type AdmissionResult, type Customer,
} from './model/admission-run.js';
import {mean} from './model/statistics.js';

const seedCount = Number(process.argv[2] ?? 20);
const firstSeed = Number(process.argv[3] ?? 1001);
const seeds = Array.from({length: seedCount}, (_, index) => firstSeed + index);
const loads = [0.85, 1, 1.2, 2];
const nameFilter = process.argv[4];

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

/** Lowest ratio of served tokens to the fair share among the customers. Unused shares go to the other customers by weight. */
function minFairShareRatio(result: AdmissionResult, customers: readonly Customer[]): number {
	const shares = fairShares(result.offered, customers.map(({weight}) => weight), sum(result.served));
	return Math.min(...shares.map((share, index) => result.served[index]! / share));
}

/** Weighted max-min fair shares of the capacity. */
function fairShares(offered: readonly number[], weights: readonly number[], capacity: number): number[] {
	const shares = offered.map(() => 0);
	const unsatisfied = new Set(offered.keys());
	let remaining = capacity;
	for (;;) {
		const total = sum([...unsatisfied].map(index => weights[index]!));
		const rate = remaining / total;
		const satisfied = [...unsatisfied].filter(index => offered[index]! <= rate * weights[index]!);
		if (satisfied.length === 0) {
			for (const index of unsatisfied) {
				shares[index] = rate * weights[index]!;
			}

			return shares;
		}

		for (const index of satisfied) {
			shares[index] = offered[index]!;
			unsatisfied.delete(index);
		}

		remaining = capacity - sum(shares);
	}
}

async function measure(name: string, customers: readonly Customer[], load: number): Promise<AdmissionResult[]> {
	const results: AdmissionResult[] = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop -- parallel runs would not be faster on one thread
		results.push(await runAdmission(admissionFactories[name]!, customers, load, seed));
	}

	return results;
}

console.log(`seeds ${firstSeed} to ${firstSeed + seedCount - 1}`);
console.log('| customers | admission | load | goodput tokens/s, mean (worst) | least part of a fair share, mean (worst) | urgent p95 ms, mean (worst) | urgent refused | held back, of refused |');
console.log('|---|---|---|---|---|---|---|---|');
for (const [label, customers, measuredLoads] of [['even', evenCustomers(), loads], ['two flood', floodCustomers(), [2]]] as const) {
	for (const name of Object.keys(admissionFactories).filter(candidate => !nameFilter || candidate === nameFilter)) {
		for (const load of measuredLoads) {
			// eslint-disable-next-line no-await-in-loop -- one table row after another
			const results = await measure(name, customers, load);
			const goodput = results.map(result => result.goodput);
			const shares = results.map(result => minFairShareRatio(result, customers));
			const p95 = results.map(result => result.urgentP95);
			const count = (field: 'expiredWaiting' | 'refused') => sum(results.map(result => result[field]));
			const refused = mean(results.map(result => result.urgentRefused));
			console.log([
				'',
				label,
				name,
				load,
				`${mean(goodput).toFixed(0)} (${Math.min(...goodput).toFixed(0)})`,
				`${mean(shares).toFixed(3)} (${Math.min(...shares).toFixed(3)})`,
				`${mean(p95).toFixed(0)} (${Math.max(...p95).toFixed(0)})`,
				`${(100 * refused).toFixed(1)} %`,
				`${count('expiredWaiting')} of ${count('refused')}`,
				'',
			].join(' | ').trim());
		}
	}
}
