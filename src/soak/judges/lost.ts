import {
	answered, answerEnd, runEnd, type Judge, type PlannedWork, type SoakHistory, type SoakOutcome, type SoakRequest, type SoakRun,
} from './soak-history.js';

/** Time in milliseconds after the last byte of a request from which it counts although it was not passed on. */
const slackMs = 200;
/** Time in milliseconds after the grace time for which a stop counts. */
const afterGraceMs = 1000;
/** Time in milliseconds for which a reload counts. */
const reloadMs = 2000;
/** Time in milliseconds after the stop signal in which the host may close an idle connection just before a request on it arrives. */
const closeRaceMs = 300;
/** Time in milliseconds after the stop signal for which a host must still serve, because callers cache its address for 3 s. */
const stopServingMs = 2500;
/** Time in milliseconds after the stop signal until which requests that are still being worked on near the end of the grace time are excused. */
const excusedSentMs = 3000;
/** Share of the grace time after which a server that is still at work excuses an interruption. */
const excusedShare = 5 / 6;
/** Number of requests on kept connections that may end without an answer. */
const maxUnanswered = 3;

type Case = {readonly request: SoakRequest; readonly outcome: SoakOutcome; readonly runs: readonly SoakRun[]};

/** LOST: planned work at a host interrupts requests that it has read, or hosts close kept connections without an answer to a request that they passed on to a sound server. Without faults only. */
export const judgeLost: Judge = history => {
	if (!history.isFaultFree) {
		return [];
	}

	const all = answered(history);
	const planned = all.flatMap(item => history.plannedWork.filter(work => isLost(history, item, work)).slice(0, 1).map(work => describe(item, work)));
	const unanswered = all.filter(({outcome, runs}) => outcome.end === answerEnd.none && outcome.isKept && runs.length > 0 && runs.every(({isSound}) => isSound));
	return [
		...planned,
		...(unanswered.length > maxUnanswered ? [`${unanswered.length} requests on kept connections got no answer: ${unanswered.map(({request}) => request.id).join(' ')}`] : []),
	];
};

function isLost(history: SoakHistory, item: Case, {entry, kind, at, isServing}: PlannedWork): boolean {
	const {request: {sentAt}, outcome, runs} = item;
	const {end, endedAt, lastByteAt} = outcome;
	if (outcome.entry !== entry || endedAt < at || sentAt > at + (kind === 'stop' ? history.graceMs + afterGraceMs : reloadMs)) {
		return false;
	}

	const isInterrupted = end === answerEnd.cut || end === answerEnd.none;
	const isRead = runs.length > 0 || endedAt > (lastByteAt ?? Infinity) + slackMs + history.longestPauseMs || (isServing && sentAt <= at);
	const isInService = kind === 'stop' && isServing && sentAt >= at + closeRaceMs && sentAt <= at + stopServingMs;
	return !isExcused(history, item) && (isInterrupted ? isRead || isInService : end === answerEnd.unreachable && isInService);
}

function isExcused({plannedWork, graceMs}: SoakHistory, {request, outcome, runs}: Case): boolean {
	const isOverdue = outcome.endedAt - request.sentAt >= Math.min(request.deadlineMs, request.timeoutMs);
	const isLongWork = plannedWork.some(({entry, kind, at}) => kind === 'stop' && entry === outcome.entry && request.sentAt <= at + excusedSentMs && outcome.endedAt <= at + graceMs + afterGraceMs && runs.some(run => (run.endedAt ?? Infinity) >= at + (graceMs * excusedShare)));
	return isOverdue || isLongWork || runs.at(-1)?.end === runEnd.broken;
}

function describe({request: {id, sentAt}, outcome: {end, endedAt, entry}, runs}: Case, {kind, at}: PlannedWork): string {
	return `${id} ended (${end}) at entry host ${entry}, ${Math.round(endedAt - at)} ms after the signal for its ${kind} and ${Math.round(endedAt - sentAt)} ms after it was sent; runs: ${runs.map(run => `${run.server} ${run.end}`).join(', ') || 'none'}`;
}
