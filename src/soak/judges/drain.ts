import {type Judge} from './soak-history.js';

/** Time in milliseconds after the acknowledgement of a leave from which no request may arrive. */
export const drainMs = 2500;

/** DRAIN: a request reaches a backend server too long after its leave was acknowledged. Without faults only: faults may delay the news. */
export const judgeDrain: Judge = history => history.isFaultFree
	? [...history.runs.values()].flat().filter(({server, at}) => at > (history.leaves.get(server) ?? Infinity) + drainMs).map(({id, server, at}) => `${id} reached ${server} ${Math.round(at - history.leaves.get(server)!)} ms after its leave was acknowledged`)
	: [];
