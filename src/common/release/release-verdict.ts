import {logLikelihoodRatio} from '../evidence/log-likelihood-ratio.js';
import {type ReleaseCounts} from './release-evidence.js';

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
	readonly failures: number;
}

/** False positive rate of Wald's test: the share of good releases that it rejects. */
const falsePositiveRate = 0.001;
/** False negative rate of Wald's test: the share of bad releases that it accepts. */
const falseNegativeRate = 0.005;
/** Minimum failure share assumed for the previous release, so that a single failure does not make the new one bad. */
const minBaseFailureShare = 0.02;
/** Increase of the failure share that makes a release bad. */
const badFailureShareIncrease = 0.25;
/** Ratio of latencies that makes a release bad. */
const badLatencyRatio = 3;
/** Minimum number of answers of a route at each release for a comparison of latencies. */
const minLatencySamples = 8;
/** Minimum number of answers of a route before a release is good. If half of all answers fail, at least one of 5 does with a probability of 97 %. */
const minRouteAnswers = 5;
/** Number of standard errors by which the latency ratio must exceed its bound. */
const latencySigmas = 3;

type Sum = {answers: number; failures: number; logLatency: number; logLatencySquares: number};

/** Judges a release: compares failures and latencies for each route, and the failures of all routes together. */
export function judgeRelease(target: string, rows: Iterable<ReleaseCounts>): JudgedRelease {
	const sums = sumByRoute(target, rows);
	const all = {target: emptySum(), base: emptySum()};
	let reason = '';
	for (const [route, {target: current, base}] of sums) {
		addTo(all.target, current);
		addTo(all.base, base);
		const failures = testFailures(current, base);
		if (failures === releaseVerdict.bad) {
			return judged(releaseVerdict.bad, `${current.failures} of ${current.answers} answers of ${route} failed, ${base.failures} of ${base.answers} before`, current);
		}

		if (isSlow(current, base)) {
			return judged(releaseVerdict.bad, `answers of ${route} take ${(Math.exp(meanOf(current) - meanOf(base))).toFixed(1)} times as long`, current);
		}

		// A route that the previous release serves needs enough answers of the new one, without a higher failure share. Otherwise
		// the answers of other routes could hide its failures.
		if (base.answers >= minRouteAnswers && (current.answers < minRouteAnswers || current.failures * base.answers > base.failures * current.answers)) {
			reason ||= `${current.failures} of ${current.answers} answers of ${route} failed`;
		}
	}

	const failures = testFailures(all.target, all.base);
	if (failures === releaseVerdict.bad) {
		return judged(releaseVerdict.bad, `${all.target.failures} of ${all.target.answers} answers failed`, all.target);
	}

	return failures === releaseVerdict.good && reason === '' ? judged(releaseVerdict.good, 'no difference found', all.target) : judged(releaseVerdict.undecided, reason || 'too few answers', all.target);
}

function judged(verdict: ReleaseVerdict, reason: string, {answers, failures}: Sum): JudgedRelease {
	return {
		verdict, reason, answers, failures,
	};
}

/** Applies Wald's sequential probability ratio test to the failure share. */
function testFailures(target: Sum, base: Sum): ReleaseVerdict {
	const baseShare = Math.min(0.6, Math.max(minBaseFailureShare, (base.failures + 0.5) / (base.answers + 1)));
	const badShare = Math.min(0.95, baseShare + badFailureShareIncrease);
	const ratio = logLikelihoodRatio(target.failures, target.answers - target.failures, badShare, baseShare);
	if (ratio >= Math.log((1 - falseNegativeRate) / falsePositiveRate)) {
		return releaseVerdict.bad;
	}

	return ratio <= Math.log(falseNegativeRate / (1 - falsePositiveRate)) ? releaseVerdict.good : releaseVerdict.undecided;
}

function isSlow(target: Sum, base: Sum): boolean {
	if (target.answers < minLatencySamples || base.answers < minLatencySamples) {
		return false;
	}

	const error = Math.sqrt((varianceOf(target) / target.answers) + (varianceOf(base) / base.answers));
	return meanOf(target) - meanOf(base) - (latencySigmas * error) > Math.log(badLatencyRatio);
}

function meanOf({answers, logLatency}: Sum): number {
	return logLatency / answers;
}

function varianceOf(sum: Sum): number {
	return Math.max(0.01, (sum.logLatencySquares / sum.answers) - (meanOf(sum) ** 2));
}

function sumByRoute(target: string, rows: Iterable<ReleaseCounts>): Map<string, {target: Sum; base: Sum}> {
	const sums = new Map<string, {target: Sum; base: Sum}>();
	for (const row of rows) {
		let sum = sums.get(row.route);
		if (!sum) {
			sum = {target: emptySum(), base: emptySum()};
			sums.set(row.route, sum);
		}

		addTo(row.release === target ? sum.target : sum.base, row);
	}

	return sums;
}

function emptySum(): Sum {
	return {
		answers: 0, failures: 0, logLatency: 0, logLatencySquares: 0,
	};
}

function addTo(sum: Sum, {answers, failures, logLatency, logLatencySquares}: Sum): void {
	sum.answers += answers;
	sum.failures += failures;
	sum.logLatency += logLatency;
	sum.logLatencySquares += logLatencySquares;
}
