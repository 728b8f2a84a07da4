import {type ServiceDocument} from '../documents/service-document.js';
import {type VersionRef} from '../documents/version-ref.js';

/** The current document of a service, with the revision that last changed it. */
export interface DocumentRecord {
	readonly document: ServiceDocument;
	readonly revision: number;
	/** Versions withdrawn by command. They stay withdrawn even if a later document lists them. */
	readonly withdrawn: readonly VersionRef[];
}
