import {
	answered, answerEnd, runEnd, type Judge,
} from './soak-history.js';

/** Time in milliseconds after a caller has left from which nothing may be done for it. */
const slackMs = 500;
const maxLateRuns = 3;
const maxWorkingShare = 0.25;
const minWorking = 4;

/** GONE: requests reach backend servers after their caller has left, or these still work on many of them. Without faults only. */
export const judgeGone: Judge = history => {
	if (!history.isFaultFree) {
		return [];
	}

	const left = answered(history).filter(({outcome}) => outcome.end === answerEnd.left || outcome.end === answerEnd.late);
	const allowedMs = slackMs + history.longestPauseMs;
	const late = left.flatMap(({outcome, runs}) => runs.filter(({at}) => at > outcome.endedAt + allowedMs));
	const lasting = left.filter(({request}) => request.isRepeatable || request.isStream).flatMap(({outcome, runs}) => runs.filter(({at, end, endedAt}) => at <= outcome.endedAt && (endedAt === undefined || endedAt > outcome.endedAt || end === runEnd.left)).map(run => ({run, outcome})));
	const working = lasting.filter(({run, outcome}) => (run.endedAt ?? Infinity) > outcome.endedAt + allowedMs);
	return [
		...(late.length > maxLateRuns ? [`${late.length} requests reached servers after their callers had left: ${late.map(({id}) => id).join(' ')}`] : []),
		...(working.length >= minWorking && working.length > lasting.length * maxWorkingShare ? [`servers still worked on ${working.length} of ${lasting.length} requests whose callers had left: ${working.map(({run}) => run.id).join(' ')}`] : []),
	];
};
