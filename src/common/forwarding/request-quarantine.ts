import {sharedParts} from './crash-observer.js';
import {type ForwardServices, type ForwardState} from './forward-services.js';
import {type AdmittedRequest} from './forwarder.js';
import {quarantinedPartReason, quarantinedRequestReason} from './router-refusals.js';

/** Why a request is under quarantine. */
export interface RequestQuarantine {
	/** Code of the refusal. */
	readonly reason: string;
	/** Part of the prompt under quarantine; undefined when the request itself is. */
	readonly part: string | undefined;
}

/** Returns the quarantine that applies to a request: its own, unless this host has answers that clear it, or that of a part of its prompt. */
export function quarantineOf(
	{quarantinedParts, quarantinedRequests}: Pick<ForwardState, 'quarantinedParts' | 'quarantinedRequests'>,
	{crashes}: Pick<ForwardServices, 'crashes'>,
	{req: {generation}, digest}: Pick<AdmittedRequest, 'req' | 'digest'>,
): RequestQuarantine | undefined {
	if (quarantinedRequests.has(digest) && !crashes.isSoundRequest(digest)) {
		return {reason: quarantinedRequestReason, part: undefined};
	}

	const part = quarantinedParts.size === 0 || !generation ? undefined : sharedParts(generation.parts).find(({id}) => quarantinedParts.has(id))?.id;
	return part === undefined ? undefined : {reason: quarantinedPartReason, part};
}

/** Returns the quarantine by which a request is refused now, and records the refusal for its end. */
export function refuseQuarantined(services: Pick<ForwardServices, 'state' | 'crashes'>, admitted: Pick<AdmittedRequest, 'req' | 'digest'>): RequestQuarantine | undefined {
	const quarantine = quarantineOf(services.state(), services, admitted);
	if (quarantine?.part !== undefined) {
		services.crashes.recordRefused(quarantine.part);
	}

	return quarantine;
}
