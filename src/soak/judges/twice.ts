import {type Judge} from './soak-history.js';

/** TWICE: a request that must not be repeated runs more than once. */
export const judgeTwice: Judge = history => [...history.runs].filter(([id, runs]) => runs.length > 1 && history.requests.get(id)?.isRepeatable === false).map(([id, runs]) => `${id} ran at ${runs.map(({server}) => server).join(' and ')}`);
