import {type Judge} from './soak-history.js';

/** UNASKED: a request runs that nobody sent, or with another method, path or body. */
export const judgeUnasked: Judge = history => [...history.runs].flatMap(([id, runs]) => {
	const request = history.requests.get(id);
	if (!request) {
		return [`${id} ran at ${runs[0]!.server} and was never sent`];
	}

	return runs.filter(({method, path, body}) => method !== request.method || path !== request.path || (body !== undefined && body !== request.body)).map(({server, method, path, body}) => `${id} ran at ${server} as ${method} ${path}, ${request.method} ${request.path} was sent; body of ${body?.length ?? 'an unknown number of'} instead of ${request.body.length} characters`);
});
