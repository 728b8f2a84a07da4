import {Grants} from './grants.js';
import {answered, answerEnd, type Judge} from './soak-history.js';

/** Number of failed requests that a violation names. */
const maxNamed = 8;
/** Minimum share of requests that are served during planned work and after the faults. */
const minServedShare = 0.95;
/** The same where callers ask for more than the backend servers accept. */
const minServedShareUnderLoad = 0.25;

/** RECOVER: requests are not served after all faults have ended, or not by hosts at work while others are restarted as planned. */
export const judgeRecover: Judge = history => {
	const grants = new Grants(history);
	const minShare = history.isOverloaded ? minServedShareUnderLoad : minServedShare;
	const counted = answered(history).filter(({outcome}) => outcome.end !== answerEnd.left);
	const share = (requests: typeof counted) => {
		const failed = requests.filter(({outcome}) => outcome.end !== answerEnd.complete || outcome.status !== 200);
		return {
			requests: requests.length, served: requests.length - failed.length, failed: failed.slice(0, maxNamed).map(({outcome: {id, status, end}}) => `${id} ${status ?? 'no status'} ${end}`).join(', '),
		};
	};

	const owed = share(counted.filter(({request, outcome}) => outcome.isOwed && request.grants.every(grant => grants.isInForce(grant, request.sentAt))));
	const after = share(counted.filter(({outcome}) => outcome.isAfterFaults));
	return [
		...(owed.served < owed.requests * minShare ? [`${owed.served} of ${owed.requests} requests were served during planned work; not served: ${owed.failed}`] : []),
		...(after.requests === 0 || after.served < after.requests * minShare ? [`${after.served} of ${after.requests} requests were served after the faults; not served: ${after.failed}`] : []),
	];
};
