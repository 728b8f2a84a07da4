import {expect, it} from 'vitest';
import {
	allowedStage, releaseStage, type ReleaseStage, trialShare,
} from './release-schedule.js';

const limit = {share: 0.15, slack: 30};
const msPerSecond = 1000;
const stepMs = 200;
/** Time in milliseconds that the previous release needs to finish most of its requests. */
const minMoveMs = 1000;

/** Answers without a failure that make a release good. */
const minAnswers = 18;

/** Plays the stages of a release without visible faults. @returns its requests, the limit for it and the length of the move. */
function play(durationMs: number, perSecond: number, servers: number): {exposed: number; allowed: number; moveMs: number; trial: number} {
	const share = trialShare(servers);
	let stage: ReleaseStage = releaseStage.waiting;
	let exposed = 0;
	let trial = 0;
	let moveMs = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
		if (stage !== releaseStage.moving) {
			stage = allowedStage({
				elapsedMs, durationMs, trialShare: share, exposed, all: perSecond * elapsedMs / msPerSecond, perSecond, peakPerSecond: perSecond,
			}, limit);
		}

		const requests = perSecond * stepMs / msPerSecond;
		if (stage === releaseStage.trial) {
			exposed += requests * share;
			trial += requests * share;
		} else if (stage === releaseStage.moving || stage === releaseStage.ending) {
			exposed += requests;
			moveMs += stepMs;
		}
	}

	return {
		exposed, allowed: (limit.share * perSecond * durationMs / msPerSecond) + limit.slack, moveMs, trial,
	};
}

// Guards against a release with faults that nobody sees and that gets more requests than the limit, against a trial too short to
// judge it, and against a move that leaves the previous release no time for its requests.
it.each([
	{
		durationMs: 24_000, perSecond: 67, servers: 6, minTrial: 80,
	},
	{
		durationMs: 12_000, perSecond: 67, servers: 6, minTrial: 40,
	},
	{
		durationMs: 24_000, perSecond: 137, servers: 13, minTrial: 150,
	},
	{
		durationMs: 16_000, perSecond: 15, servers: 6, minTrial: minAnswers,
	},
	{
		durationMs: 24_000, perSecond: 450, servers: 62, minTrial: 150,
	},
])('keeps to the limit in $durationMs ms at $perSecond requests a second and $servers servers', ({durationMs, perSecond, servers, minTrial}) => {
	const {exposed, allowed, moveMs, trial} = play(durationMs, perSecond, servers);
	expect(exposed).toBeLessThanOrEqual(allowed);
	expect(trial).toBeGreaterThanOrEqual(minTrial);
	expect(moveMs).toBeGreaterThanOrEqual(minMoveMs);
});
