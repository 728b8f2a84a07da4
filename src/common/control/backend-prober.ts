import {type BackendServer} from './backend-server.js';

/** Checks whether a backend server is alive. */
export interface BackendProber {
	/** Resolves to whether the server answered in time; never rejects. */
	probe(server: BackendServer): Promise<boolean>;
}
