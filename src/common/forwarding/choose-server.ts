import {type AdmittedRequest} from './forwarder.js';
import {type ForwardServices} from './forward-services.js';
import {serversForRelease} from './release-rule.js';
import {type ServerRecord} from './server-pool.js';

/** Chooses the backend server of an attempt. Servers that were tried are left out, unless there is no other and `mayRepeat`. */
export function chooseServer(services: ForwardServices, {req, service}: AdmittedRequest, tried: ReadonlySet<string>, mayRepeat: boolean): ServerRecord | undefined {
	const {
		pool, placement, state, clock, zone, sessions,
	} = services;
	const parts = req.generation?.parts ?? [];
	const rollout = state().rollouts.get(service);
	const session = {key: req.session ?? parts.at(-1)?.id ?? req.id, isHeld: req.session !== undefined && sessions.isHeld(req.session)};
	const all = serversForRelease(rollout, session, pool.ready(service));
	const fresh = all.filter(({key}) => !tried.has(key));
	const candidates = fresh.length === 0 && mayRepeat ? all : fresh;
	// The last part belongs to the request itself, the one before it is the longest that others share.
	const affinityKey = parts.at(-2)?.id ?? parts[0]?.id;
	const record = placement.choose({affinityKey, zone}, candidates, clock.now());
	if (record && req.session !== undefined && record.server.release !== rollout?.target) {
		sessions.note(req.session);
	}

	return record;
}
