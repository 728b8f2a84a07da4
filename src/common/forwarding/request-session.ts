import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {type RequestSession} from './servers-for-release.js';

/** Returns the session of a request; a request without one is a session of its own, or belongs to that of its last prompt part. */
export function sessionOf({sessions}: Pick<ForwardServices, 'sessions'>, {req}: Pick<AdmittedRequest, 'req'>): RequestSession {
	return {
		key: req.session ?? req.generation?.parts.at(-1)?.id ?? req.id,
		isSticky: req.session !== undefined && sessions.isSticky(req.session),
	};
}
