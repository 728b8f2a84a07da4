import {connect} from 'node:net';
import {type AddressCheck, type ConnectionCheck} from '../common/base/address-check.js';

/** Connect timeout in milliseconds. A server in the same city answers within a few milliseconds. */
const defaultTimeoutMs = 600;
const maxPort = 65_535;

/** Checks an address by opening one TCP connection, on which nothing is sent. */
export class TcpAddressCheck implements AddressCheck, ConnectionCheck {
	constructor(private readonly _timeoutMs = defaultTimeoutMs) {}

	async refusesConnections(address: string): Promise<boolean> {
		return await this._connect(address) === 'ECONNREFUSED';
	}

	async acceptsConnections(address: string): Promise<boolean> {
		return await this._connect(address) === undefined;
	}

	/** Resolves to the code of the error, or undefined when a connection was accepted. */
	private async _connect(address: string): Promise<string | undefined> {
		const at = address.lastIndexOf(':');
		const host = address.slice(0, at).replaceAll(/[\[\]]/gv, '');
		const port = Number(address.slice(at + 1));
		if (!(port > 0 && port <= maxPort)) {
			return 'ERR_INVALID_PORT';
		}

		return new Promise(resolve => {
			const socket = connect({host, port, timeout: this._timeoutMs});
			const finish = (code: string | undefined) => {
				socket.destroy();
				resolve(code);
			};

			socket.once('connect', () => {
				finish(undefined);
			});
			socket.once('timeout', () => {
				finish('ETIMEDOUT');
			});
			socket.on('error', ({code, message}: Error & {code?: string}) => {
				finish(code ?? message);
			});
		});
	}
}
