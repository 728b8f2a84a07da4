import {binCount} from './confidence-bins.js';
import {isotonic} from './isotonic.js';
import {type VersionEstimate} from './version-estimate.js';

/** Expected rating of a version by confidence bin, with its uncertainty. */
export interface Calibration {
	/** Mean rating in each bin, non-decreasing. */
	readonly mean: readonly number[];
	/** Variance of the mean rating in each bin. */
	readonly variance: readonly number[];
	/** Share of the answers in each bin. */
	readonly share: readonly number[];
	/** Effective sample size of the weighted ratings. */
	readonly effectiveRatings: number;
	/** Whether the calibration is a default that no rating supports. */
	readonly isAssumed?: boolean;
}

/** Prior variance of ratings: a standard deviation of 0.25. */
const priorVariance = 0.0625;
/** Ratings that the prior of a bin counts as: a prior from a related version or scope, and a default. */
const priorRatings = {related: 4, assumed: 0.5} as const;
/** Answers that the prior shares count as. */
const priorAnswers = 20;

/** Calibrations without any rating. The most expensive version is expected to be good; any other version needs ratings first. */
export const defaultCalibrations = {other: uniformCalibration(0.5), mostExpensive: uniformCalibration(1)} as const;

/** Fits a calibration to the sums of a version, shrunk towards a prior: that of all classes, of the version that it replaces, or a default. */
export function calibrate(estimate: VersionEstimate | undefined, prior: Calibration): Calibration {
	if (!estimate) {
		return {...prior, effectiveRatings: 0};
	}

	const priorWeight = prior.isAssumed ? priorRatings.assumed : priorRatings.related;
	const counts = estimate.weight.map((weight, bin) => weight > 0 ? (weight * weight) / estimate.weightSquares[bin]! : 0);
	const means = counts.map((count, bin) => {
		const own = count > 0 ? estimate.rating[bin]! / estimate.weight[bin]! : 0;
		return ((own * count) + (prior.mean[bin]! * priorWeight)) / (count + priorWeight);
	});
	const spread = residualVariance(estimate, counts);
	const variance = counts.map((count, bin) => {
		const priorShare = priorWeight / (count + priorWeight);
		const fromPrior = Math.max(prior.variance[bin]!, spread / 25);
		return (spread * count / ((count + priorWeight) ** 2)) + (fromPrior * priorShare * priorShare);
	});
	const effectiveRatings = sum(counts);
	const answers = sum(estimate.answers);
	const share = estimate.answers.map((count, bin) => (count + (priorAnswers * prior.share[bin]!)) / (answers + priorAnswers));
	return {
		mean: isotonic(means, counts.map(count => count + 0.5)), variance, share, effectiveRatings,
	};
}

/** Mean rating over the bins `from` to `to`, weighted by the given shares, with its variance and the total weight. */
export function weightedMean(calibration: Calibration, share: readonly number[], from = 0, to = binCount): {mean: number; variance: number; weight: number} {
	let [mean, variance, weight] = [0, 0, 0];
	for (let bin = from; bin < to; bin++) {
		mean += share[bin]! * calibration.mean[bin]!;
		variance += share[bin]! * share[bin]! * calibration.variance[bin]!;
		weight += share[bin]!;
	}

	return {mean, variance, weight};
}

function residualVariance(estimate: VersionEstimate, counts: readonly number[]): number {
	let [squares, count] = [priorVariance * 10, 10];
	for (const [bin, n] of counts.entries()) {
		if (n > 0) {
			const mean = estimate.rating[bin]! / estimate.weight[bin]!;
			squares += n * Math.max(0, (estimate.ratingSquares[bin]! / estimate.weight[bin]!) - (mean * mean));
			count += n;
		}
	}

	return squares / count;
}

function sum(values: readonly number[]): number {
	return values.reduce((all, value) => all + value, 0);
}

function uniformCalibration(mean: number): Calibration {
	const each = (value: number) => Array.from({length: binCount}, () => value);
	return {
		mean: each(mean), variance: each(priorVariance), share: each(1 / binCount), effectiveRatings: 0, isAssumed: true,
	};
}
