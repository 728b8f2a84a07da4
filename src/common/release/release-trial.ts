import {type ReleaseCounts} from './release-evidence.js';
import {
	binsFor, countAbove, quantileBin, sizeOf, sumOf, type ValueHistogram,
} from './value-histogram.js';

/** A number of answers and how many of them are bad in one respect. */
export interface Sample {
	readonly count: number;
	readonly bad: number;
}

/** The samples of both releases in one respect. */
export interface Trial {
	readonly target: Sample;
	readonly base: Sample;
}

/** Respects in which the answers of two releases are compared. */
export const respect = {
	failures: 'failures',
	broken: 'broken',
	head: 'head',
	pace: 'pace',
} as const;
export type Respect = typeof respect[keyof typeof respect];
export const respects: readonly Respect[] = Object.values(respect);

/** Counts of one route and model at both releases. */
export interface Stratum {
	readonly route: string;
	readonly target: Outcomes;
	readonly base: Outcomes;
}

/** Sums of the counts of all hosts. */
export type Outcomes = Pick<ReleaseCounts, 'sent' | 'answers' | 'failures' | 'broken' | 'headMs' | 'paceUs'>;

/** Minimum number of values of the previous release before answers of a route and model are compared by them. */
const minBaseValues = 20;
/** Quantile of the values of the previous release above which an answer is slow. */
const slowQuantile = 0.95;
/** Minimum multiple of the median of the previous release from which an answer is slow. */
const slowFactor = 3;

export const noOutcomes: Outcomes = {
	sent: 0, answers: 0, failures: 0, broken: 0, headMs: [], paceUs: [],
};

/** Adds two sums, or subtracts the second with a factor of -1. */
export function addOutcomes(left: Outcomes, right: Outcomes, factor = 1): Outcomes {
	return {
		sent: left.sent + (factor * right.sent),
		answers: left.answers + (factor * right.answers),
		failures: left.failures + (factor * right.failures),
		broken: left.broken + (factor * right.broken),
		headMs: sumOf(left.headMs, right.headMs, factor),
		paceUs: sumOf(left.paceUs, right.paceUs, factor),
	};
}

/** Returns the samples of a route and model in one respect. */
export function trialOf({target, base}: Stratum, one: Respect): Trial {
	switch (one) {
		case respect.failures: {
			return {target: {count: target.answers, bad: target.failures}, base: {count: base.answers, bad: base.failures}};
		}

		case respect.broken: {
			return {target: {count: target.answers, bad: target.broken}, base: {count: base.answers, bad: base.broken}};
		}

		case respect.head: {
			return slowTrial(target.headMs, base.headMs);
		}

		case respect.pace: {
			return slowTrial(target.paceUs, base.paceUs);
		}
	}
}

/** Adds the samples of two trials. */
export function addTrials(left: Trial, right: Trial): Trial {
	return {
		target: {count: left.target.count + right.target.count, bad: left.target.bad + right.target.bad},
		base: {count: left.base.count + right.base.count, bad: left.base.bad + right.base.bad},
	};
}

export const noTrial: Trial = {target: {count: 0, bad: 0}, base: {count: 0, bad: 0}};

/** Counts the slow answers of both releases. Without enough values of the previous release nothing is compared. */
function slowTrial(target: ValueHistogram, base: ValueHistogram): Trial {
	const count = sizeOf(base);
	if (count < minBaseValues) {
		return noTrial;
	}

	const bin = Math.max(quantileBin(base, slowQuantile), quantileBin(base, 0.5) + binsFor(slowFactor));
	return {target: {count: sizeOf(target), bad: countAbove(target, bin)}, base: {count, bad: countAbove(base, bin)}};
}
