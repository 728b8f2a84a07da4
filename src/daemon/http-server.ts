import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Disposable} from '../common/base/disposable.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {RequestGuard} from '../node/guarded-requests.js';
import {SystemClock} from '../node/system-clock.js';
import {breakResponse} from './break-response.js';
import {CallerConnections} from './caller-connections.js';
import {asRefusal, sendRefusal} from './http-error.js';
import {type ListenAddress} from './listen-address.js';
import {rejectionStatus} from './rejection-status.js';

/** Handles a request. An error that it throws is sent as a refusal unless the response has started. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>;

/** Time in milliseconds for which an idle keep-alive connection stays open. */
const keepAliveMs = 30_000;
/** Bytes of a refused body that are read, so that its caller gets to the refusal. */
const maxDiscardedBytes = 256 * 1024;

/** An HTTP server that can be drained. */
export class HttpServer implements Disposable {
	private readonly _server: Server;
	private readonly _connections: CallerConnections;
	private readonly _guard: RequestGuard;
	private _handler: HttpHandler | undefined;
	private readonly _open = new Set<ServerResponse>();
	private _isDraining = false;

	constructor() {
		this._server = createServer((req, res) => {
			if (!this._connections.add(req.socket, res)) {
				// The connection is about to close, so that no answer can be sent.
				req.resume();
				return;
			}

			this._open.add(res);
			res.once('close', () => {
				this._open.delete(res);
			});
			if (this._isDraining) {
				res.setHeader('connection', 'close');
			}

			void this._handle(req, res);
		});
		this._guard = new RequestGuard(this._server, new SystemClock());
		this._connections = new CallerConnections(this._server);
		this._server.on('clientError', (error: Error, socket: Socket) => {
			this._connections.reject(socket, rejectionStatus(error));
		});
		this._server.keepAliveTimeout = keepAliveMs;
		// Deadlines come from the service documents, so Node's own timeout must not end long streams.
		this._server.requestTimeout = 0;
	}

	/** Number of requests in flight. */
	get active(): number {
		return this._open.size;
	}

	/** Starts to listen. @returns the bound address; for port 0 the operating system chooses the port. */
	async listen({host, port}: ListenAddress): Promise<string> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, resolve);
		});
		const bound = (this._server.address() as AddressInfo).port;
		return host.includes(':') ? `[${host}]:${bound}` : `${host}:${bound}`;
	}

	/** Sets the request handler. Until then requests are refused. */
	serve(handler: HttpHandler): void {
		this._handler = handler;
	}

	/** Closes idle connections, and makes further responses ask callers to close theirs. */
	drain(): void {
		this._isDraining = true;
		this._server.closeIdleConnections();
	}

	dispose(): void {
		this._guard.dispose();
		this._server.close();
		for (const res of this._open) {
			breakResponse(res, res.headersSent && !res.chunkedEncoding);
		}

		this._server.closeAllConnections();
	}

	private async _handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			if (!this._handler) {
				throw new RefusalError('starting', 'The daemon is starting.', {status: 503, retryAfterSeconds: 1});
			}

			await this._handler(req, res, parseUrl(req.url ?? '/'));
		} catch (error) {
			if (res.headersSent) {
				breakResponse(res, !res.chunkedEncoding);
			} else {
				sendRefusal(res, asRefusal(error));
				// Discards the rest of the body, because some callers read the refusal only after they have sent all of it.
				discardBody(req);
			}
		}
	}
}

/** Reads the rest of a body, and resets the connection when it is larger than any useful caller sends. */
function discardBody(req: IncomingMessage): void {
	let bytes = 0;
	req.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maxDiscardedBytes) {
			req.socket.resetAndDestroy();
		}
	});
}

function parseUrl(text: string): URL {
	try {
		return new URL(text, 'http://localhost');
	} catch (error) {
		throw new RefusalError('invalid-url', 'The request target is not a valid URL.', {status: 400, cause: error});
	}
}
