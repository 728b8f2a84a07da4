import {type BackendServer} from '../control/backend-server.js';
import {type VersionRef} from '../documents/version-ref.js';

/** Order to an engine to load a version. */
export interface EngineOrder {
	readonly kind: 'load';
	readonly server: BackendServer;
	readonly ref: VersionRef;
	/** Fencing number of the leader; an engine that checks it refuses a lower one. */
	readonly fencing: number;
}
