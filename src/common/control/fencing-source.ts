import {type BackendServer} from './backend-server.js';

/** Source of fencing numbers for orders to backend servers. */
export interface FencingSource {
	/** Fencing number for an order; undefined while this host must not send orders to the backend server. */
	fencingFor(server: Pick<BackendServer, 'checksFencing'>): number | undefined;
}
