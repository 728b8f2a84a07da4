import {type Judge} from './soak-history.js';

/** Number of requests that may run on too many servers. */
const maxExceeding = 3;
const deadlineSlackMs = 500;
const maxLongDeadlines = 20;
const maxLongShare = 0.2;

/** BUDGET: requests run on more servers than their route allows, without those that ended meanwhile, or servers are given more time than is left. */
export const judgeBudget: Judge = history => {
	const exceeding = [...history.runs].filter(([id, runs]) => new Set(runs.map(({server}) => server).filter(server => !history.endedServers.has(server))).size > (history.requests.get(id)?.maxAttempts ?? Infinity));
	const runs = [...history.runs.values()].flat();
	const long = runs.filter(({id, deadlineMs}) => (deadlineMs ?? Infinity) > (history.requests.get(id)?.deadlineMs ?? Infinity) + deadlineSlackMs);
	return [
		...(exceeding.length > maxExceeding ? [`${exceeding.length} requests ran on too many servers: ${exceeding.map(([id]) => id).join(' ')}`] : []),
		...(history.isFaultFree && long.length > maxLongDeadlines && long.length > runs.length * maxLongShare ? [`${long.length} of ${runs.length} runs got more time than was left`] : []),
	];
};
