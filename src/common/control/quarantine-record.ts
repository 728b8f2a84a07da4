import {type VersionRef} from '../documents/version-ref.js';

/** Quarantine of a version for a request class of a service. */
export interface QuarantineRecord {
	readonly service: string;
	/** Request class, or `*` for all. */
	readonly requestClass: string;
	readonly ref: VersionRef;
	/** Human-readable reason. */
	readonly reason: string;
	readonly revision: number;
}
