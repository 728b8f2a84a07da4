import {sharedParts} from './crash-observer.js';
import {type ForwardRequest} from './forward-request.js';
import {type ForwardState} from './forward-services.js';

/** Returns the first part of a request's prompt that is under quarantine; undefined when there is none. */
export function quarantinedPart({quarantinedParts}: Pick<ForwardState, 'quarantinedParts'>, {generation}: Pick<ForwardRequest, 'generation'>): string | undefined {
	return quarantinedParts.size === 0 || !generation ? undefined : sharedParts(generation.parts).find(({id}) => quarantinedParts.has(id))?.id;
}
