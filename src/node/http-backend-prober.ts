import {type BackendProber} from '../common/control/backend-prober.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {TcpAddressCheck} from './tcp-address-check.js';

/** Connect timeout in milliseconds. A backend server in the same city answers within a few milliseconds; 1 s covers a stall. */
const timeoutMs = 1000;

/** Probes a backend server by opening a TCP connection to its address. */
export class HttpBackendProber implements BackendProber {
	private readonly _connections = new TcpAddressCheck(timeoutMs);

	async probe({address}: BackendServer): Promise<boolean> {
		return this._connections.acceptsConnections(address);
	}
}
