import {logLikelihoodRatio} from './log-likelihood-ratio.js';

/** Failure rates that a sequential test distinguishes, and its error probabilities. */
export interface WaldRates {
	/** Failure rate of a healthy version. */
	readonly healthy: number;
	/** Failure rate of a bad version. */
	readonly bad: number;
	/** Probability of an alarm for a healthy version. */
	readonly falseAlarm: number;
	/** Probability of missing a bad version. */
	readonly miss: number;
}

/** Kullback-Leibler divergence between two failure rates, in nats per answer. */
export function divergence(bad: number, healthy: number): number {
	return logLikelihoodRatio(bad, 1 - bad, bad, healthy);
}

/** Wald's expected number of answers until the test decides that a bad version is bad. */
export function waldExpectedSample({healthy, bad, falseAlarm, miss}: WaldRates): number {
	const nats = ((1 - miss) * Math.log((1 - miss) / falseAlarm)) + (miss * Math.log(miss / (1 - falseAlarm)));
	return nats / divergence(bad, healthy);
}
