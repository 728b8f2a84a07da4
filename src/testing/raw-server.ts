import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type Disposable} from '../common/base/disposable.js';

/** Server on a loopback port whose connections a test writes itself. */
export class RawServer implements Disposable {
	/** Starts to listen. `onRequest` gets each arrival of bytes, with its number on the connection. */
	static async open(onRequest: (socket: Socket, request: number) => void): Promise<RawServer> {
		const sockets = new Set<Socket>();
		const server = createServer(socket => {
			let requests = 0;
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', () => {
				onRequest(socket, ++requests);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return new RawServer(server, sockets);
	}

	readonly address: string;

	private constructor(private readonly _server: Server, private readonly _sockets: ReadonlySet<Socket>) {
		this.address = `127.0.0.1:${(_server.address() as AddressInfo).port}`;
	}

	/** Number of connections that were opened. */
	get connections(): number {
		return this._sockets.size;
	}

	dispose(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}

		this._server.close();
	}
}
