import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type RequestListener, type Server,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ByteBuffer} from '../common/base/byte-buffer.js';
import {type Disposable} from '../common/base/disposable.js';

/** An HTTP server on loopback. */
export interface HttpListener extends Disposable {
	/** Bound address as `host:port`. */
	readonly address: string;
}

/** Starts an HTTP server on loopback. For port 0 the operating system chooses the port. */
export async function listenHttp(handler: RequestListener, port = 0): Promise<HttpListener> {
	const server: Server = createServer(handler);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Reads a body and parses it as JSON. An empty body gives null. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
	const body = new ByteBuffer();
	for await (const chunk of req) {
		body.push(chunk as Uint8Array);
	}

	return JSON.parse(Buffer.from(body.take()).toString() || 'null');
}
