import {answered, type Judge} from './soak-history.js';

const promises: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);

/** REFUSED: a refused request runs later; one that must not be repeated has run before either. */
export const judgeRefused: Judge = history => answered(history).filter(({outcome}) => promises.has(outcome.status)).flatMap(({request: {id, isRepeatable}, outcome: {status, endedAt}, runs}) => {
	const run = isRepeatable ? runs.find(({at}) => at > endedAt) : runs[0];
	return run ? [`${id} was refused with ${status} and ran at ${run.server}`] : [];
});
