import {type Clock} from '../common/base/clock.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {CheapestPolicy} from '../common/routing/cheapest-policy.js';
import {MostExpensivePolicy} from '../common/routing/most-expensive-policy.js';
import {
	EstimateTotals, mergeLearnt, emptyLearntState, type LearntState,
} from '../common/routing/estimate-totals.js';
import {FixedThresholdPolicy} from '../common/routing/fixed-threshold-policy.js';
import {LearningCascadePolicy} from '../common/routing/learning-cascade-policy.js';
import {defaultLearningSettings} from '../common/routing/learning-settings.js';
import {RandomPolicy} from '../common/routing/random-policy.js';
import {type ReplayPolicies} from './replay.js';

/** Manually set threshold: an answer counts as good if its mean token probability is higher. */
const manualThreshold = 0.85;

/** Factories of the policies that can be measured, by name. */
export const policyFactories: Readonly<Record<string, (clock: Clock, hosts: number, seed: number, stored?: LearntState) => ReplayPolicies>> = {
	learning: (clock, hosts, _, stored) => learningPolicies(clock, hosts, stored),
	dearest: (_, hosts) => ({name: 'dearest', hosts: repeat(hosts, () => new MostExpensivePolicy())}),
	cheapest: (_, hosts) => ({name: 'cheapest', hosts: repeat(hosts, () => new CheapestPolicy())}),
	fixed: (_, hosts) => ({name: 'fixed', hosts: repeat(hosts, () => new FixedThresholdPolicy(manualThreshold))}),
	random: (_, hosts, seed) => ({name: 'random', hosts: repeat(hosts, index => new RandomPolicy(new SeededRandom(seed).fork(`random-${index}`)))}),
};

function learningPolicies(clock: Clock, count: number, stored: LearntState = emptyLearntState): ReplayPolicies {
	const {exploration} = defaultLearningSettings;
	const settings = {...defaultLearningSettings, exploration: {...exploration, initial: exploration.initial / count, pending: Math.ceil(exploration.pending / count)}};
	const hosts = repeat(count, () => new LearningCascadePolicy(clock, settings));
	const totals = new EstimateTotals(settings.halfLifeMs, stored);
	for (const host of hosts) {
		host.importEstimates(stored);
	}

	let sequence = 0;
	return {
		name: 'learning',
		hosts,
		learnt() {
			let total = stored;
			for (const host of hosts) {
				total = mergeLearnt(total, host.exportEstimates(), settings.halfLifeMs);
			}

			return total;
		},
		exchange() {
			if (count === 1) {
				return;
			}

			sequence++;
			for (const [index, host] of hosts.entries()) {
				totals.add({
					host: `entry-${index}`, incarnation: 1, sequence, ...host.exportEstimates(),
				});
			}

			for (const [index, host] of hosts.entries()) {
				host.importEstimates(totals.totalExcluding(`entry-${index}`, 1));
			}
		},
	};
}

function repeat<Value>(count: number, create: (index: number) => Value): Value[] {
	return Array.from({length: count}, (_, index) => create(index));
}
