import {type ReleaseCounts} from './release-evidence.js';
import {
	binsFor, countAbove, quantileBin, sizeOf, sumOf, type ValueHistogram,
} from './value-histogram.js';

/** A number of answers and how many of them are bad in one aspect. */
export interface Sample {
	readonly count: number;
	readonly bad: number;
}

/** The samples of both releases in one aspect. */
export interface Comparison {
	readonly target: Sample;
	readonly base: Sample;
	/** Whether some of the answers are to prompts, which servers process faster when they have cached them. */
	readonly hasPrompts: boolean;
}

/** Aspects in which the answers of two releases are compared. */
export const aspect = {
	failures: 'failures',
	broken: 'broken',
	head: 'head',
	pace: 'pace',
} as const;
export type Aspect = typeof aspect[keyof typeof aspect];
/** All aspects. */
export const aspects: readonly Aspect[] = Object.values(aspect);

/** Counts of one route and model at both releases. */
export interface Stratum {
	readonly route: string;
	readonly hasPrompts: boolean;
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

/** A sum of nothing. */
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

/** Returns the samples of a route and model in one aspect. */
export function comparisonOf({target, base, hasPrompts}: Stratum, one: Aspect): Comparison {
	switch (one) {
		case aspect.failures: {
			return {target: {count: target.answers, bad: target.failures}, base: {count: base.answers, bad: base.failures}, hasPrompts};
		}

		case aspect.broken: {
			return {target: {count: target.answers, bad: target.broken}, base: {count: base.answers, bad: base.broken}, hasPrompts};
		}

		case aspect.head: {
			return {...slowSamples(target.headMs, base.headMs), hasPrompts};
		}

		case aspect.pace: {
			return {...slowSamples(target.paceUs, base.paceUs), hasPrompts};
		}
	}
}

/** Adds the samples of two comparisons. */
export function addComparisons(left: Comparison, right: Comparison): Comparison {
	return {
		target: {count: left.target.count + right.target.count, bad: left.target.bad + right.target.bad},
		base: {count: left.base.count + right.base.count, bad: left.base.bad + right.base.bad},
		hasPrompts: left.hasPrompts || right.hasPrompts,
	};
}

/** Samples without answers. */
export const noComparison: Comparison = {target: {count: 0, bad: 0}, base: {count: 0, bad: 0}, hasPrompts: false};

/** Counts the slow answers of both releases. Without enough values of the previous release nothing is compared. */
function slowSamples(target: ValueHistogram, base: ValueHistogram): Pick<Comparison, 'target' | 'base'> {
	const count = sizeOf(base);
	if (count < minBaseValues) {
		return noComparison;
	}

	const bin = Math.max(quantileBin(base, slowQuantile), quantileBin(base, 0.5) + binsFor(slowFactor));
	return {target: {count: sizeOf(target), bad: countAbove(target, bin)}, base: {count, bad: countAbove(base, bin)}};
}
