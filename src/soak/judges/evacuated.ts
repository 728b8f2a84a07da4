import {type Evacuation, type Judge} from './soak-history.js';

/** Time in milliseconds after the acknowledgement of an evacuation from which no request may reach the zone. */
export const evacuateMs = 5000;
/** Time in milliseconds by which the soak's own slow links and its handling of requests may delay a request that was written in time. */
const slackMs = 200;
/** Number of runs after the faults from which each zone must have got some of them. */
const minRuns = 100;

/** EVACUATED: a request reaches a server of a zone too long after its evacuation was acknowledged, or a zone stays without requests after the withdrawal was acknowledged. */
export const judgeEvacuated: Judge = history => {
	const runs = [...history.runs.values()].flat();
	const allowedMs = evacuateMs + slackMs + history.longestPauseMs;
	const isForbidden = (evacuation: Evacuation, at: number) => at > evacuation.acknowledgedAt + allowedMs && at < evacuation.endSentAt;
	const late = history.evacuations.flatMap(evacuation => runs.filter(({zone, at}) => zone === evacuation.zone && isForbidden(evacuation, at)).map(({id, server, at}) => `${id} reached ${server} ${Math.round(at - evacuation.acknowledgedAt)} ms after the evacuation of ${evacuation.zone} was acknowledged`));
	const after = runs.filter(({id}) => history.outcomes.get(id)?.isAfterFaults);
	const withdrawn = new Set(history.evacuations.filter(({isEnded}) => isEnded).map(({zone}) => zone));
	const idle = after.length < minRuns ? [] : [...withdrawn].filter(name => after.every(({zone}) => zone !== name));
	return [...late, ...idle.map(zone => `${zone} got none of ${after.length} runs after the withdrawal of its evacuation was acknowledged`)];
};
