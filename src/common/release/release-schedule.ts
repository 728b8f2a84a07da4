import {type ExposureLimit} from './exposure-limit.js';

/** Stages of a roll-out while it is in progress. */
export const releaseStage = {
	/** The new release gets no requests; the hosts exchange their sticky sessions. */
	waiting: 'waiting',
	/** A few servers of the new release get as many requests each as the servers of the previous one. */
	trial: 'trial',
	/** All sessions move to the new release, while the previous one finishes its requests. */
	moving: 'moving',
	/** The roll-out ends. */
	ending: 'ending',
} as const;
export type ReleaseStage = typeof releaseStage[keyof typeof releaseStage];

/** Progress of a roll-out. */
export interface RolloutProgress {
	readonly elapsedMs: number;
	readonly durationMs: number;
	/** Share of the sessions at the new release during the trial. */
	readonly trialShare: number;
	/** Requests sent to the new release and to all since the start. */
	readonly exposed: number;
	readonly all: number;
	/** Latest request rate in 1/s; undefined when it is not known yet. */
	readonly perSecond: number | undefined;
	/** Highest request rate in 1/s so far; the latest one may be that of a quiet moment. */
	readonly peakPerSecond: number | undefined;
}

/** Part of the exposure limit that is planned for; the rest covers changes of the request rate. */
const plannedFraction = 0.85;
/** Part of the planned exposure that the trial may use; the rest is for the move at the end. */
const trialFraction = 0.45;
/** Minimum share of the sessions in the trial. */
const minTrialShare = 0.05;
/** Maximum share of the sessions in the trial, for services with few servers. */
export const maxTrialShare = 0.34;
/** Time in milliseconds from the start to the trial: two renewals, in which the hosts exchange their sticky sessions. */
const sessionExchangeMs = 2200;
/** Fraction of the duration from which the trial starts although the request rate is not known. */
const unmeasuredTrialFrom = 0.5;
/** Fraction of the duration before which sessions of the previous release must stay there. */
const moveFrom = 0.55;
/** Time in milliseconds before the end of the duration at which a good release is completed: a commit, with a margin for a retry. */
const endMarginMs = 600;
/** Time in milliseconds until the leader knows of a request. */
const reportLagMs = 1000;
const msPerSecond = 1000;

/**
Returns the share of the sessions in the trial, such that each server in the trial gets the load of a server of the previous
release: a lower load hides faults, and an idle server looks fast.
*/
export function trialShare(servers: number): number {
	const inTrial = Math.max(1, Math.round(servers * minTrialShare));
	return Math.min(maxTrialShare, inTrial / Math.max(1, servers));
}

/**
Returns the stage that a roll-out may be in. The trial and the move start as late as the exposure limit requires, so that the
limit holds for a release with faults that the trial does not show.
*/
export function allowedStage({elapsedMs, durationMs, trialShare: share, exposed, all, perSecond, peakPerSecond}: RolloutProgress, limit: ExposureLimit): ReleaseStage {
	const remainingMs = durationMs - elapsedMs;
	if (remainingMs <= endMarginMs) {
		return releaseStage.ending;
	}

	if (elapsedMs < sessionExchangeMs) {
		return releaseStage.waiting;
	}

	if (perSecond === undefined || peakPerSecond === undefined) {
		return elapsedMs >= durationMs * unmeasuredTrialFrom ? releaseStage.trial : releaseStage.waiting;
	}

	const planned = (remaining: number) => plannedFraction * ((limit.share * (all + remaining)) + limit.slack);
	const mostRemaining = peakPerSecond * remainingMs / msPerSecond;
	const unreported = peakPerSecond * share * reportLagMs / msPerSecond;
	if (elapsedMs >= durationMs * moveFrom && exposed + unreported + mostRemaining <= planned(mostRemaining)) {
		return releaseStage.moving;
	}

	// The trial may be planned with the latest rate: the move is planned with what the trial has used.
	const remaining = perSecond * remainingMs / msPerSecond;
	return remaining * share <= planned(remaining) * trialFraction ? releaseStage.trial : releaseStage.waiting;
}
