import {type Server} from 'node:net';
import {type ListenAddress} from './listen-address.js';

/** Starts to listen. A failed attempt may be repeated. Later errors of the server go to its own listeners. @throws system errors, for example when the address is in use. */
export async function listen(server: Server, {host, port}: ListenAddress): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const finish = (error?: Error) => {
			server.off('error', finish);
			server.off('listening', finish);
			if (error) {
				reject(error);
			} else {
				resolve();
			}
		};

		server.on('error', finish);
		server.on('listening', finish);
		server.listen(port, host);
	});
}
