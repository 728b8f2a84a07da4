import {expect, it} from 'vitest';
import {SeededRandom} from '../base/seeded-random.js';
import {type ReleaseCounts} from './release-evidence.js';
import {judgeRelease, type ReleaseVerdict, releaseVerdict} from './release-verdict.js';

type Load = {readonly answers: number; readonly failureShare: number; readonly latencyMs: number};

function counts(release: string, route: string, {answers, failureShare, latencyMs}: Load, random: SeededRandom): ReleaseCounts {
	let failures = 0;
	let logLatency = 0;
	let logLatencySquares = 0;
	for (let index = 0; index < answers; index++) {
		const log = Math.log(latencyMs * (0.5 + random.next()));
		failures += random.next() < failureShare ? 1 : 0;
		logLatency += log;
		logLatencySquares += log ** 2;
	}

	return {
		service: 's', release, route, answers, failures, logLatency, logLatencySquares,
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
		name: 'a release that fails as often as the old one', base: flaky, target: {...flaky, answers: 100}, verdict: releaseVerdict.bad, minMatching: 0,
	},
	{
		name: 'too few answers', base: healthy, target: {...healthy, answers: 3}, verdict: releaseVerdict.undecided, minMatching: 50,
	},
])('judges $name', ({base, target, verdict, minMatching}) => {
	const verdicts = Array.from({length: 50}, (_, seed) => {
		const random = new SeededRandom(seed);
		return judgeRelease('new', [counts('old', 'r', base, random), counts('new', 'r', target, random)]).verdict;
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
	expect(judgeRelease('new', rows).verdict).toBe(releaseVerdict.bad);
});
