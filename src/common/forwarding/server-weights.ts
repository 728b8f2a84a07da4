import {type RandomSource} from '../base/random-source.js';
import {type ServerRecord} from './server-pool.js';

/** Knows how much load the servers handle well, relative to the other servers of their service. */
export interface ServerWeights {
	/** Weight of a process; 1 while nothing else is known. */
	of(record: ServerRecord, now: number): number;
}

/** Weight of a process at the time of a choice. */
export type WeightOf = (record: ServerRecord) => number;

/** Difference in cost below which servers count as equally loaded; the same as the jitter of a choice without weights. */
const costTolerance = 0.01;

/** All weights are 1. */
export const noWeights: ServerWeights = {of: () => 1};

/** Returns the weights of servers; undefined when all are 1. */
export function weightsOf(servers: readonly ServerRecord[], weights: ServerWeights, now: number): WeightOf | undefined {
	const byRecord = new Map<ServerRecord, number>();
	for (const record of servers) {
		const weight = weights.of(record, now);
		if (weight !== 1) {
			byRecord.set(record, weight);
		}
	}

	return byRecord.size === 0 ? undefined : record => byRecord.get(record) ?? 1;
}

/** Chooses among the servers of the lowest cost at random, in proportion to their weights. */
export function chooseByWeight(servers: readonly ServerRecord[], weightOf: WeightOf, costOf: (record: ServerRecord) => number, random: RandomSource): ServerRecord | undefined {
	const limit = Math.min(...servers.map(record => costOf(record))) + costTolerance;
	let best: ServerRecord | undefined;
	let bestTime = Infinity;
	for (const record of servers) {
		// The first of several exponential times with these rates is that of a server with a probability in proportion to its rate.
		const time = costOf(record) < limit ? -Math.log(1 - random.next()) / weightOf(record) : Infinity;
		if (time < bestTime) {
			bestTime = time;
			best = record;
		}
	}

	return best;
}
