import {logLikelihoodRatio} from '../evidence/log-likelihood-ratio.js';
import {type ReleaseCounts} from './release-evidence.js';

/** What the evidence says of a release against the one before. */
export const releaseVerdict = {
	good: 'good',
	bad: 'bad',
	open: 'open',
} as const;
export type ReleaseVerdict = typeof releaseVerdict[keyof typeof releaseVerdict];

/** A verdict with what led to it. */
export interface JudgedRelease {
	readonly verdict: ReleaseVerdict;
	readonly reason: string;
	readonly answers: number;
	readonly failures: number;
}

/** Share of false alarms in Wald's test of failures. */
const falseAlarms = 0.001;
/** Share of bad releases that pass the test. */
const misses = 0.005;
/** Least failure share that the release before is taken to have, so that a single failure is no proof. */
const leastBaseShare = 0.02;
/** Rise of the failure share that makes a release bad. */
const badRise = 0.25;
/** Ratio of latencies that makes a release bad. */
const badRatio = 3;
/** Answers of a route at each release without which latencies are not compared. */
const leastLatencySamples = 8;
/** Answers of a route at the new release without which it is not judged good; half of its answers failing would show with 97 %. */
const leastRouteAnswers = 5;
/** Standard errors by which the ratio must exceed the bound. */
const latencySigmas = 3;

type Sum = {answers: number; failures: number; logLatency: number; logLatencySquares: number};

/** Judges a release by sequential tests of failures and latencies, for each route and over all. */
export function judgeRelease(target: string, rows: Iterable<ReleaseCounts>): JudgedRelease {
	const sums = sumByRoute(target, rows);
	const all = {target: emptySum(), base: emptySum()};
	let reason = '';
	for (const [route, {target: one, base}] of sums) {
		addTo(all.target, one);
		addTo(all.base, base);
		const failures = testFailures(one, base);
		if (failures === releaseVerdict.bad) {
			return judged(releaseVerdict.bad, `${one.failures} of ${one.answers} answers of ${route} failed, ${base.failures} of ${base.answers} before`, one);
		}

		if (isSlow(one, base)) {
			return judged(releaseVerdict.bad, `answers of ${route} take ${(Math.exp(meanOf(one) - meanOf(base))).toFixed(1)} times as long`, one);
		}

		// A route that the release before serves must have been seen to work; one with a few answers is no proof against the others.
		if (base.answers >= leastRouteAnswers && (one.answers < leastRouteAnswers || one.failures * base.answers > base.failures * one.answers)) {
			reason ||= `${one.failures} of ${one.answers} answers of ${route} failed`;
		}
	}

	const failures = testFailures(all.target, all.base);
	if (failures === releaseVerdict.bad) {
		return judged(releaseVerdict.bad, `${all.target.failures} of ${all.target.answers} answers failed`, all.target);
	}

	return failures === releaseVerdict.good && reason === '' ? judged(releaseVerdict.good, 'no difference found', all.target) : judged(releaseVerdict.open, reason || 'too few answers', all.target);
}

function judged(verdict: ReleaseVerdict, reason: string, {answers, failures}: Sum): JudgedRelease {
	return {
		verdict, reason, answers, failures,
	};
}

/** Wald's sequential probability ratio test of the failure share. */
function testFailures(one: Sum, base: Sum): ReleaseVerdict {
	const baseShare = Math.min(0.6, Math.max(leastBaseShare, (base.failures + 0.5) / (base.answers + 1)));
	const badShare = Math.min(0.95, baseShare + badRise);
	const ratio = logLikelihoodRatio(one.failures, one.answers - one.failures, badShare, baseShare);
	if (ratio >= Math.log((1 - misses) / falseAlarms)) {
		return releaseVerdict.bad;
	}

	return ratio <= Math.log(misses / (1 - falseAlarms)) ? releaseVerdict.good : releaseVerdict.open;
}

function isSlow(one: Sum, base: Sum): boolean {
	if (one.answers < leastLatencySamples || base.answers < leastLatencySamples) {
		return false;
	}

	const error = Math.sqrt((varianceOf(one) / one.answers) + (varianceOf(base) / base.answers));
	return meanOf(one) - meanOf(base) - (latencySigmas * error) > Math.log(badRatio);
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
