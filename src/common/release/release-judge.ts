import {logLikelihoodRatio} from '../evidence/log-likelihood-ratio.js';
import {type ReleaseCounts} from './release-evidence.js';
import {
	addOutcomes, addComparisons, noOutcomes, noComparison, type Outcomes, aspect, type Aspect, aspects, type Sample, type Stratum, type Comparison, comparisonOf,
} from './release-comparison.js';

/** Result of the comparison of a release with the previous one. */
export const releaseVerdict = {
	good: 'good',
	bad: 'bad',
	/** There is not enough evidence yet. */
	undecided: 'undecided',
} as const;
export type ReleaseVerdict = typeof releaseVerdict[keyof typeof releaseVerdict];

/** A verdict with its reason and the counts behind it. */
export interface JudgedRelease {
	readonly verdict: ReleaseVerdict;
	readonly reason: string;
	readonly answers: number;
	/** Bad answers by aspect. */
	readonly bad: Readonly<Record<Aspect, number>>;
}

/** False positive rate of each test: the share of good releases that it rejects. */
const falsePositiveRate = 0.0005;
/** False negative rate of each test: the share of bad releases that it accepts. */
const falseNegativeRate = 0.005;
/** Minimum share of bad answers that is assumed for the previous release, so that few of them do not make the new one bad. */
const minBaseShare: Readonly<Record<Aspect, number>> = {
	failures: 0.02,
	// A single server that crashes breaks one answer at each host.
	broken: 0.2,
	head: 0.08,
	pace: 0.08,
};
/** The same for heads of answers to prompts: the new release starts with empty caches, so many of its prompts are processed whole. */
const minPromptHeadShare = 0.25;
/** Maximum share that is assumed for the previous release. */
const maxBaseShare = 0.6;
/** Increase of the share of bad answers that makes a release bad. */
const badShareIncrease = 0.25;
/** Number of answers of a route before a release is good. If half of all answers fail, at least one of 5 does with a probability of 97 %. */
const minRouteAnswers = 5;
/** The same as a share of the answers of the previous release, for routes with few requests. */
const minRouteShare = 0.02;
/** Number of answers of the previous release since the start of the trial from which earlier ones are left out. */
const minRecentAnswers = 40;
const rejectAt = Math.log((1 - falseNegativeRate) / falsePositiveRate);
const acceptAt = Math.log(falseNegativeRate / (1 - falsePositiveRate));
/** Evidence for "bad" in one aspect from which a release is not good. */
const doubtAt = rejectAt / 2;
/** The same for heads and bodies together: odds of four to one. */
const slowDoubtAt = Math.log(4);
const allRoutes = 'all routes';
/** Aspects that are tested together; slow servers show in both heads and bodies. */
const tests: ReadonlyArray<readonly Aspect[]> = [[aspect.failures], [aspect.broken], [aspect.head], [aspect.pace], [aspect.head, aspect.pace]];

/**
Judges a release by the evidence of all hosts: failures, broken answers and slow ones, for each route and for all together.
Evidence for "bad" is a cumulative sum that never falls below zero (CUSUM), so good answers at an early time or a low load do
not outweigh later bad ones. A release is good when all its answers pass the test on failures and no test comes near to a
rejection: chance alone makes a few of the answers of a small trial slow.
*/
export class ReleaseJudge {
	/** Cumulative sum of each test, by route and aspects. */
	private readonly _sums = new Map<string, number>();
	/** Last sample of each route and aspect. */
	private readonly _samples = new Map<string, Sample>();
	/** Counts of each route and model before the trial. */
	private _before: ReadonlyMap<string, Outcomes> = new Map();
	private _latest: ReadonlyMap<string, Outcomes> = new Map();

	constructor(private readonly _target: string) {}

	/** Compares with the answers of the previous release from now on only, because its load and caches may have changed. */
	startTrial(): void {
		this._before = this._latest;
	}

	/** Judges the release by the counts of all hosts, which never decrease. */
	judge(rows: Iterable<ReleaseCounts>): JudgedRelease {
		const strata = this._strata(rows);
		const routes = new Map<string, Stratum[]>();
		for (const stratum of strata) {
			routes.set(stratum.route, [...(routes.get(stratum.route) ?? []), stratum]);
		}

		const all = new Map(aspects.map(one => [one, noComparison]));
		let doubt = '';
		let rejection = '';
		for (const [route, parts] of routes) {
			const comparisons = new Map(aspects.map(one => [one, sumComparisons(parts, one)]));
			for (const [one, comparison] of comparisons) {
				all.set(one, addComparisons(all.get(one)!, comparison));
			}

			rejection ||= this._reject(route, comparisons);
			doubt ||= doubtOf(route, comparisons, 0);
		}

		rejection ||= this._reject(allRoutes, all);
		doubt ||= doubtOf(allRoutes, all, acceptAt);
		const counts = {
			answers: all.get(aspect.failures)!.target.count,
			bad: Object.fromEntries(aspects.map(one => [one, all.get(one)!.target.bad])) as Record<Aspect, number>,
		};
		if (rejection) {
			return {verdict: releaseVerdict.bad, reason: rejection, ...counts};
		}

		return {verdict: doubt ? releaseVerdict.undecided : releaseVerdict.good, reason: doubt || 'no difference found', ...counts};
	}

	/** Adds the latest answers of a route to the cumulative sums of its tests. @returns why the release is bad; empty when it is not. */
	private _reject(route: string, comparisons: ReadonlyMap<Aspect, Comparison>): string {
		const evidence = new Map([...comparisons].map(([one, comparison]) => [one, this._latestEvidence(route, one, comparison)]));
		let rejection = '';
		for (const test of tests) {
			const key = `${route}/${test.join('+')}`;
			let sum = this._sums.get(key) ?? 0;
			for (const one of test) {
				sum += evidence.get(one)!;
			}

			this._sums.set(key, Math.max(0, sum));
			if (sum >= rejectAt) {
				rejection ||= test.map(one => describe(route, one, comparisons.get(one)!)).join('; ');
			}
		}

		return rejection;
	}

	/** Returns what the answers since the last judgement say; above zero against the release. */
	private _latestEvidence(route: string, one: Aspect, {target, base, hasPrompts}: Comparison): number {
		const key = `${route}/${one}`;
		const last = this._samples.get(key) ?? noComparison.target;
		this._samples.set(key, target);
		// The bound of slow answers moves with the previous release. Earlier answers that are no longer slow count back.
		return ratioOf({target: {count: target.count - last.count, bad: target.bad - last.bad}, base, hasPrompts}, one);
	}

	private _strata(rows: Iterable<ReleaseCounts>): Stratum[] {
		const latest = new Map<string, Outcomes>();
		const strata = new Map<string, Stratum>();
		for (const row of rows) {
			const {route, model, release} = row;
			const isTarget = release === this._target;
			const key = JSON.stringify([route, model]);
			const stratum = strata.get(key) ?? {
				route, hasPrompts: model !== undefined, target: noOutcomes, base: noOutcomes,
			};
			strata.set(key, isTarget ? {...stratum, target: addOutcomes(stratum.target, row)} : {...stratum, base: addOutcomes(stratum.base, row)});
		}

		for (const [key, {base}] of strata) {
			latest.set(key, base);
		}

		this._latest = latest;
		return [...strata].map(([key, stratum]) => {
			const recent = addOutcomes(stratum.base, this._before.get(key) ?? noOutcomes, -1);
			return recent.answers < minRecentAnswers ? stratum : {...stratum, base: recent};
		});
	}
}

function sumComparisons(strata: readonly Stratum[], one: Aspect): Comparison {
	let sum = noComparison;
	for (const stratum of strata) {
		sum = addComparisons(sum, comparisonOf(stratum, one));
	}

	return sum;
}

/**
Returns why the answers of a route keep a release from being good; empty when they do not. Each route counts, because the
answers of others could hide its bad ones. Chance alone makes a few answers of a small trial slow in one aspect, so slow heads
and bodies are weighed together.
*/
function doubtOf(route: string, comparisons: ReadonlyMap<Aspect, Comparison>, failuresBound: number): string {
	const ratio = (one: Aspect) => ratioOf(comparisons.get(one)!, one);
	const failures = comparisons.get(aspect.failures)!;
	if (failures.target.count < Math.min(minRouteAnswers, Math.floor(failures.base.count * minRouteShare)) || ratio(aspect.failures) > failuresBound) {
		return describe(route, aspect.failures, failures);
	}

	const slower = ratio(aspect.head) > ratio(aspect.pace) ? aspect.head : aspect.pace;
	const isSlow = ratio(aspect.head) + ratio(aspect.pace) > slowDoubtAt;
	const doubtful = isSlow ? slower : aspects.find(one => one !== aspect.failures && ratio(one) > doubtAt);
	return doubtful ? describe(route, doubtful, comparisons.get(doubtful)!) : '';
}

/** Logarithm of the likelihood ratio of a bad release to one like the previous one. */
function ratioOf({target, base, hasPrompts}: Comparison, one: Aspect): number {
	const minShare = hasPrompts && one === aspect.head ? minPromptHeadShare : minBaseShare[one];
	const baseShare = Math.min(maxBaseShare, Math.max(minShare, (base.bad + 0.5) / (base.count + 1)));
	return logLikelihoodRatio(target.bad, target.count - target.bad, Math.min(0.95, baseShare + badShareIncrease), baseShare);
}

function describe(route: string, one: Aspect, {target, base}: Comparison): string {
	return `${one} of ${route}: ${target.bad} of ${target.count} answers, ${base.bad} of ${base.count} before`;
}
