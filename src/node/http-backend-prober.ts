import {connect} from 'node:net';
import {type BackendProber} from '../common/control/backend-prober.js';
import {type BackendServer} from '../common/control/backend-server.js';

/** Connect timeout in milliseconds. A backend server in the same city answers within a few milliseconds; 1 s covers a stall. */
const timeoutMs = 1000;

/** Probes a backend server by opening a TCP connection to its address. */
export class HttpBackendProber implements BackendProber {
	async probe({address}: BackendServer): Promise<boolean> {
		const at = address.lastIndexOf(':');
		return new Promise(resolve => {
			const socket = connect({host: address.slice(0, at).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(at + 1))});
			const settle = (isAlive: boolean) => {
				socket.destroy();
				resolve(isAlive);
			};

			socket.setTimeout(timeoutMs, () => {
				settle(false);
			});
			socket.once('connect', () => {
				settle(true);
			});
			socket.once('error', () => {
				settle(false);
			});
		});
	}
}
