import {type Urgency} from '../documents/urgency.js';
import {type ServerState} from './server-state.js';

/**
Expected number of requests in the batch and in the queue: those of the report, plus local requests sent since, minus local requests ended since.
The number of local requests in flight is a lower bound.
*/
export function expectedRequests(state: ServerState): number {
	const {report} = state;
	return report ? Math.max(state.inFlight, report.running + report.queued + state.sentSinceReport - state.endedSinceReport) : state.inFlight;
}

/**
Prompt tokens queued ahead of a new request: the reported ones plus local ones sent since, minus those processed since at the reported rate.
The prompt tokens of local requests without a first token are a lower bound. If the server reports its urgent queued tokens, only those are ahead of an urgent request.
*/
export function tokensAhead(state: ServerState, urgency: Urgency, now: number): number {
	const {report} = state;
	if (!report) {
		return state.waitingTokens;
	}

	const drained = state.prefillRate * Math.max(0, now - report.at) / 1000;
	const skipsQueue = urgency === 'urgent' && report.urgentQueuedTokens !== undefined;
	return skipsQueue
		? Math.max(state.waitingUrgentTokens, report.urgentQueuedTokens + state.sentUrgentTokensSinceReport - drained)
		: Math.max(state.waitingTokens, report.queuedTokens + state.sentTokensSinceReport - drained);
}

/** Expected time in milliseconds until there is a free slot in the batch. */
export function slotWaitMs(state: ServerState, capacity: number, requests: number): number {
	return requests < capacity ? 0 : (requests - capacity + 1) * state.meanRequestMs / capacity;
}
