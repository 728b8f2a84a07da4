import {type Scenario, type ScenarioVersion} from './scenario.js';

/** Three model sizes at prices of 1 : 4 : 16, close to the ratio of their active parameters, and a new version of the smallest. */
function versions(engines: readonly [number, number, number]): ScenarioVersion[] {
	const small = {
		inputCost: 1, outputCost: 5, verbosity: 1, engines: engines[0], tokenMs: 8, prefillRate: 12_000,
	};
	return [
		{...small, ref: 'small@1', skill: 1.5},
		{
			...small, ref: 'small@2', skill: 1.6, engines: 0, replaces: 'small@1',
		},
		{
			ref: 'medium@1', inputCost: 4, outputCost: 20, verbosity: 1.1, engines: engines[1], skill: 2.4, tokenMs: 14, prefillRate: 7000,
		},
		{
			ref: 'large@1', inputCost: 16, outputCost: 80, verbosity: 1.2, engines: engines[2], skill: 3.4, tokenMs: 24, prefillRate: 4000,
		},
	];
}

const shared = {
	sessionShare: 0.3, missingRatings: 0.1, confidenceNoise: 0.6, ratingSlope: 3, hours: 8,
	rollout: {
		at: 0.3, from: 'small@1', to: 'small@2', badFrom: 0.65, lostSkill: 3,
	},
} as const;

/** Coralvent Thermal Records: 6 model engines; latency has priority. */
const coralvent: Scenario = {
	...shared, name: 'coralvent', service: 'thermal-records', qualityTarget: 0.9, requestsPerSecond: 0.7,
	urgencyShares: [['urgent', 0.08], ['normal', 0.72], ['batch', 0.2]],
	classes: [
		{
			name: 'history-summary', share: 0.35, difficulty: 0.5, inputTokens: 2500, outputTokens: 300,
		},
		{
			name: 'incident-note', share: 0.35, difficulty: 0, inputTokens: 700, outputTokens: 150,
		},
		{
			name: 'sensor-annotation', share: 0.3, difficulty: -0.6, inputTokens: 400, outputTokens: 60,
		},
	],
	versions: versions([2, 2, 2]), ratingsPerSecond: 0.3, ratingDelayMs: 40_000,
	rollout: {...shared.rollout, badClass: 'incident-note'},
};

/** Pulso Sistemas: 13 model engines; cost has priority. */
const pulso: Scenario = {
	...shared, name: 'pulso', service: 'pulso-assist', qualityTarget: 0.9, requestsPerSecond: 1.4,
	urgencyShares: [['urgent', 0.03], ['normal', 0.77], ['batch', 0.2]],
	classes: [
		{
			name: 'dispute-summary', share: 0.3, difficulty: 0.6, inputTokens: 1800, outputTokens: 260,
		},
		{
			name: 'repair-ticket', share: 0.3, difficulty: 0, inputTokens: 600, outputTokens: 180,
		},
		{
			name: 'delivery-answer', share: 0.4, difficulty: -0.5, inputTokens: 350, outputTokens: 90,
		},
	],
	versions: versions([5, 4, 4]), ratingsPerSecond: 0.5, ratingDelayMs: 90_000,
	rollout: {...shared.rollout, badClass: 'repair-ticket'},
};

/** Scenarios by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {coralvent, pulso};
