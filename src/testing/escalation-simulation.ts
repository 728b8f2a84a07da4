import {SeededRandom} from '../common/base/seeded-random.js';
import {LoadAwareCascade} from '../common/forwarding/load-aware-cascade.js';
import {ModelSpeed} from '../common/forwarding/model-speed.js';
import {type Route} from '../common/forwarding/routing-config.js';
import {EngineQueue, SimulationTime} from './engine-queue.js';

/** A deployment that is played: engines, models and load. */
export interface Deployment {
	readonly engines: number;
	readonly hosts: number;
	/** Time in milliseconds that an engine takes for 1,000 prompt tokens of each model. */
	readonly smallMs: number;
	readonly largeMs: number;
	/** Requests a second at a time in milliseconds. */
	readonly perSecond: (time: number) => number;
	/** Share of the small model's answers that are good. */
	readonly smallQuality: number;
	/** Whether the confidence says anything about the answer. */
	readonly isConfidenceTrue: boolean;
	/** Share of the engines that take three times as long. */
	readonly slowShare: number;
}

/** A deployment at a moderate load. */
export const usualDeployment: Deployment = {
	engines: 6, hosts: 8, smallMs: 5, largeMs: 50, perSecond: () => 8, smallQuality: 0.5, isConfidenceTrue: true, slowShare: 0,
};

const route = {
	name: 'r', models: ['small', 'large'], targetLatencyMs: 3000, priority: 0,
} as unknown as Route;
const timeoutMs = 12_000;
const durationMs = 60_000;
/** Time in milliseconds that is not counted, in which the hosts learn the speed of the models. */
const learningMs = 10_000;
/** Credit of a late answer, and of one that was too hard for its model, relative to a good one in time. */
const lateCredit = 0.3;
const poorCredit = 0.05;
/** Price of an answer of each model, relative to the credit of a good one in time. */
const price = {small: 0.01, large: 0.12} as const;

/** Decides whether the largest model is asked, with what a host knows about its speed. */
export type Decide = (speed: ModelSpeed, confidence: number, tokens: number, elapsedMs: number, now: number) => boolean;

const cascade = new LoadAwareCascade(55, 1);
/** Decides as `LoadAwareCascade` does. */
export const loadAware: Decide = (speed, confidence, tokens, elapsedMs, now) => {
	const generation = generationOf(tokens);
	const context = {
		route, generation, elapsedMs, remainingMs: timeoutMs - elapsedMs,
	};
	return cascade.larger(context, 'small', confidence) !== undefined && cascade.escalates(context, confidence, speed.expected(generation, now));
};

/** Decides by the confidence alone. */
export const fixed = (threshold: number): Decide => (_speed, confidence) => confidence < threshold;
export const fixedThresholds = [0, 15, 30, 55, 101];

function generationOf(inputTokens: number) {
	return {
		model: undefined, inputTokens, maxOutputTokens: 100, expectedOutputTokens: undefined, parts: [],
	};
}

/** Plays a deployment. @returns the mean credit less the price of the models, and the share of answers in time, after the learning time. */
export function playDeployment(deployment: Deployment, decide: Decide, seed: number): {credit: number; onTime: number} {
	const random = new SeededRandom(seed);
	const time = new SimulationTime();
	const engines = Array.from({length: deployment.engines}, () => new EngineQueue(time));
	const speeds = Array.from({length: deployment.hosts}, () => new ModelSpeed());
	const slow = Math.round(deployment.engines * deployment.slowShare);
	const totals = {count: 0, credit: 0, onTime: 0};
	const pick = () => random.integer(engines.length);
	const duration = (engine: number, ms: number, tokens: number) => ms * tokens / 1000 * (engine < slow ? 3 : 1);

	const arrive = () => {
		const startedAt = time.now;
		const speed = speeds[random.integer(speeds.length)]!;
		// Prompts of very different length: the longest tenth has more than five times the median.
		const tokens = 4000 * Math.exp(1.1 * normal(random));
		const isGood = random.next() < deployment.smallQuality;
		const confidence = deployment.isConfidenceTrue ? 100 * ((isGood ? 0.35 : 0) + (0.65 * random.next())) : 100 * random.next();
		const finish = (credit: number, cost: number) => {
			if (startedAt >= learningMs) {
				const isOnTime = time.now - startedAt <= route.targetLatencyMs;
				totals.count++;
				totals.credit += (credit * (isOnTime ? 1 : lateCredit)) - cost;
				totals.onTime += isOnTime ? 1 : 0;
			}
		};

		const first = pick();
		engines[first]!.process(duration(first, deployment.smallMs, tokens), true, () => {
			const server = pick();
			const sentAt = time.now;
			if (!decide(speed, confidence, tokens, time.now - startedAt, time.now)) {
				finish(isGood ? 1 : poorCredit, price.small);
				return;
			}

			engines[server]!.process(duration(server, deployment.largeMs, tokens), false, () => {
				speed.recordFirstEvent(generationOf(tokens), time.now - sentAt, time.now);
				finish(1, price.small + price.large);
			});
		});
		scheduleArrival();
	};

	const scheduleArrival = () => {
		const next = time.now - (Math.log(1 - random.next()) * 1000 / deployment.perSecond(time.now));
		if (next < durationMs) {
			time.at(next, arrive);
		}
	};

	scheduleArrival();
	time.run();
	return {credit: totals.credit / totals.count, onTime: totals.onTime / totals.count};
}

function normal(random: SeededRandom): number {
	return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** Mean credit over some seeds, relative to the best fixed threshold for the deployment. */
export function shareOfBestThreshold(deployment: Deployment): number {
	const seeds = [1, 2, 3];
	const mean = (decide: Decide) => seeds.reduce((sum, seed) => sum + playDeployment(deployment, decide, seed).credit, 0) / seeds.length;
	return mean(loadAware) / Math.max(...fixedThresholds.map(threshold => mean(fixed(threshold))));
}
