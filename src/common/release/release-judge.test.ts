import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {type ReleaseCounts} from './release-evidence.js';
import {ReleaseJudge, type ReleaseVerdict, releaseVerdict} from './release-judge.js';
import {addValue, sizeOf} from './value-histogram.js';

/** `slowBodyShare` is the share of the answers whose body takes several times as long. */
type Load = {readonly answers: number; readonly failureShare: number; readonly latencyMs: number; readonly slowBodyShare?: number};

const slowBodyFactor = 8;

function counts(release: string, route: string, {answers, failureShare, latencyMs, slowBodyShare = 0}: Load, random: SeededRandom): ReleaseCounts {
	let failures = 0;
	const headMs: number[] = [];
	const paceUs: number[] = [];
	for (let index = 0; index < answers; index++) {
		addValue(headMs, latencyMs * (0.5 + random.next()));
		addValue(paceUs, latencyMs * (random.next() < slowBodyShare ? slowBodyFactor : 1) * (0.5 + random.next()));
		failures += random.next() < failureShare ? 1 : 0;
	}

	return {
		rollout: 1, service: 's', release, route, sent: answers, answers, failures, broken: 0, headMs, paceUs,
	};
}

const healthy: Load = {answers: 200, failureShare: 0, latencyMs: 100};
const flaky: Load = {answers: 200, failureShare: 0.14, latencyMs: 100};

// Guards against completing a bad release and reverting a good one. Each case runs with 50 seeds; `minMatching` 0 means that the
// verdict must not occur at all.
it.each<{name: string; base: Load; target: Load; verdict: ReleaseVerdict; minMatching: number}>([
	{
		name: 'a good release', base: healthy, target: {...healthy, answers: 60}, verdict: releaseVerdict.good, minMatching: 50,
	},
	{
		name: 'a failing release', base: healthy, target: {answers: 30, failureShare: 0.5, latencyMs: 100}, verdict: releaseVerdict.bad, minMatching: 50,
	},
	{
		name: 'a slow release', base: healthy, target: {answers: 30, failureShare: 0, latencyMs: 800}, verdict: releaseVerdict.bad, minMatching: 50,
	},
	{
		name: 'a release with half of its bodies slow', base: healthy, target: {...healthy, answers: 60, slowBodyShare: 0.5}, verdict: releaseVerdict.bad, minMatching: 50,
	},
	{
		name: 'a release with as many slow bodies as the old one', base: {...healthy, slowBodyShare: 0.1}, target: {...healthy, answers: 60, slowBodyShare: 0.1}, verdict: releaseVerdict.bad, minMatching: 0,
	},
	{
		name: 'a release that fails as often as the old one', base: flaky, target: {...flaky, answers: 100}, verdict: releaseVerdict.bad, minMatching: 0,
	},
	{
		name: 'too few answers', base: healthy, target: {...healthy, answers: 3}, verdict: releaseVerdict.undecided, minMatching: 50,
	},
])('judges $name', ({base, target, verdict, minMatching}) => {
	const verdicts = Array.from({length: 50}, (_, seed) => {
		const random = new SeededRandom(seed);
		return new ReleaseJudge('new').judge([counts('old', 'r', base, random), counts('new', 'r', target, random)]).verdict;
	});
	const matching = verdicts.filter(one => one === verdict).length;
	if (minMatching === 0) {
		expect(matching).toBe(0);
	} else {
		expect(matching).toBeGreaterThanOrEqual(minMatching);
	}
});

// Guards against accepting a release that fails only one kind of request because the others succeed.
it('detects a release that fails one route', () => {
	const random = new SeededRandom(7);
	const rows = [
		counts('old', 'one', healthy, random),
		counts('old', 'two', healthy, random),
		counts('new', 'one', {...healthy, answers: 60}, random),
		counts('new', 'two', {answers: 8, failureShare: 0.9, latencyMs: 100}, random),
	];
	expect(new ReleaseJudge('new').judge(rows).verdict).toBe(releaseVerdict.bad);
});

// Guards against good answers at an early time or a low load that hide later bad ones.
it('detects a release that turns bad after many good answers', () => {
	const random = new SeededRandom(3);
	const judge = new ReleaseJudge('new');
	const good = counts('new', 'r', {...healthy, answers: 150}, random);
	const bad = counts('new', 'r', {answers: 30, failureShare: 0.5, latencyMs: 100}, random);
	const base = counts('old', 'r', healthy, random);
	expect(judge.judge([base, good]).verdict).toBe(releaseVerdict.good);
	expect(judge.judge([base, {
		...good, sent: 180, answers: 180, failures: bad.failures,
	}]).verdict).toBe(releaseVerdict.bad);
});

// Guards against a good release that is not completed because chance makes a few answers of a small trial slow, and against a
// slow one that is.
it.each([
	{
		slowHeads: 0, slowBodies: 3, answers: 10, verdict: releaseVerdict.good,
	},
	{
		slowHeads: 3, slowBodies: 3, answers: 9, verdict: releaseVerdict.undecided,
	},
	{
		slowHeads: 0, slowBodies: 5, answers: 10, verdict: releaseVerdict.undecided,
	},
	{
		slowHeads: 0, slowBodies: 8, answers: 14, verdict: releaseVerdict.bad,
	},
])('judges a release with $slowHeads slow heads and $slowBodies slow bodies of $answers answers of one route as $verdict', ({slowHeads, slowBodies, answers, verdict}) => {
	const histogram = (count: number, slow: number): number[] => {
		const values: number[] = [];
		for (let index = 0; index < count; index++) {
			addValue(values, index < slow ? 100 * slowBodyFactor : 100);
		}

		return values;
	};

	const row = (release: string, route: string, count: number, slow: {heads: number; bodies: number}): ReleaseCounts => ({
		rollout: 1, service: 's', release, route, sent: count, answers: count, failures: 0, broken: 0, headMs: histogram(count, slow.heads), paceUs: histogram(count, slow.bodies),
	});

	const none = {heads: 0, bodies: 0};
	const rows = [row('old', 'one', 150, none), row('old', 'two', 150, none), row('new', 'one', answers, {heads: slowHeads, bodies: slowBodies}), row('new', 'two', 15, none)];
	expect(new ReleaseJudge('new').judge(rows).verdict).toBe(verdict);
});

// Guards against a good release that is rejected because the load has grown: answers that were slow at first are as slow as those
// of the previous release now.
it('forgets slow answers when the previous release becomes as slow', () => {
	const judge = new ReleaseJudge('new');
	const histogram = (values: ReadonlyArray<readonly [paceUs: number, count: number]>) => {
		const paceUs: number[] = [];
		for (const [value, count] of values) {
			for (let index = 0; index < count; index++) {
				addValue(paceUs, value);
			}
		}

		return paceUs;
	};

	const row = (release: string, paceUs: readonly number[]): ReleaseCounts => ({
		rollout: 1, service: 's', release, route: 'r', sent: sizeOf(paceUs), answers: sizeOf(paceUs), failures: 0, broken: 0, headMs: [], paceUs,
	});
	const usual = histogram([[100, 40]]);
	const loaded = histogram([[100, 40], [400, 200]]);
	const judgeWith = (base: readonly number[], target: readonly number[]) => judge.judge([row('old', base), row('new', target)]).verdict;
	expect(judgeWith(usual, histogram([[400, 5]]))).toBe(releaseVerdict.undecided);
	expect(judgeWith(loaded, histogram([[400, 6]]))).not.toBe(releaseVerdict.bad);
	expect(judgeWith(loaded, histogram([[400, 6], [3000, 2]]))).not.toBe(releaseVerdict.bad);
	expect(judgeWith(loaded, histogram([[400, 6], [3000, 9]]))).toBe(releaseVerdict.bad);
});

// Guards against completing a slow release of a plain service: only prompts, which new servers have not cached yet, may make its first answers slow.
it.each([
	{
		name: 'a plain service', model: undefined, slow: 7, verdict: releaseVerdict.undecided,
	},
	{
		name: 'a plain service', model: undefined, slow: 14, verdict: releaseVerdict.bad,
	},
	{
		name: 'a plain service', model: undefined, slow: 2, verdict: releaseVerdict.good,
	},
	{
		name: 'a model', model: 'm', slow: 7, verdict: releaseVerdict.good,
	},
])('judges a release of $name with $slow slow heads of 25 as $verdict', ({model, slow, verdict}) => {
	const row = (release: string, count: number, slowCount: number): ReleaseCounts => {
		const headMs: number[] = [];
		for (let index = 0; index < count; index++) {
			addValue(headMs, index < slowCount ? 20 * slowBodyFactor : 20);
		}

		return {
			rollout: 1, service: 's', release, route: 'r', model, sent: count, answers: count, failures: 0, broken: 0, headMs, paceUs: [],
		};
	};

	expect(new ReleaseJudge('new').judge([row('old', 150, 6), row('new', 25, slow)]).verdict).toBe(verdict);
});
