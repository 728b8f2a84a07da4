import {Grants} from './grants.js';
import {type Judge} from './soak-history.js';

/** ROUTE: a request runs at a service that its route does not allow, or with a key or route that no configuration ever contained. */
export const judgeRoute: Judge = history => {
	const grants = new Grants(history);
	return [...history.runs].flatMap(([id, runs]) => {
		const request = history.requests.get(id);
		const foreign = runs.filter(({service}) => request && service !== request.service).map(({server, service}) => `${id} ran at ${server} of service ${service}`);
		const unknown = request?.grants.filter(grant => !grants.isIssued(grant)).map(grant => `${id} ran with ${grant}, which was never valid`) ?? [];
		return [...foreign, ...unknown];
	});
};
