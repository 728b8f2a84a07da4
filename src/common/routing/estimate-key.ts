import {type VersionRef} from '../documents/version-ref.js';

/** Request class of the sums over all classes of a service. */
export const allClasses = '*';

/** Stands for the earlier version in the keys of pinned sessions, whose requests are not a representative sample of their class. */
export const pinnedSession = 'pinned';

/** Key of the sums of a version; `earlier` is the version whose answer was rejected in an earlier step, absent at step 0. */
export function estimateKey(service: string, requestClass: string, ref: VersionRef, earlier?: VersionRef): string {
	return `${service}|${requestClass}|${ref}${earlier === undefined ? '' : `|${earlier}`}`;
}
