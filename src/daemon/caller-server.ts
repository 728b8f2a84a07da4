import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Disposable} from '../common/base/disposable.js';
import {type Forwarder} from '../common/forwarding/forwarder.js';
import {type CallerLimits} from '../common/forwarding/routing-config.js';
import {type CallerCodec} from './caller-codec.js';
import {HttpCallerSink} from './http-caller-sink.js';
import {type ListenAddress} from './listen-address.js';

/** Largest header in bytes that the HTTP parser takes; the configured limit is checked on top of it. */
const parserHeaderBytes = 64 * 1024;
/** Body limit in bytes before the first configuration. */
const defaultBodyBytes = 4 * 1024 * 1024;
/** Time in milliseconds by which an idle connection is kept longer than callers may use it, so that no request meets the close. */
const idleMarginMs = 1000;
const headerEndBytes = 4;
/** Time in seconds after which a caller that met a stopping host may ask another one. */
const stoppingRetrySeconds = 0.05;

/** Takes requests of callers and hands them to the forwarder. */
export class CallerServer implements Disposable {
	private readonly _server: Server;
	private _limits: CallerLimits | undefined;
	private _isDraining = false;
	private _isClosed = false;
	private _active = 0;

	constructor(private readonly _forwarder: Forwarder, private readonly _codec: CallerCodec) {
		this._server = createServer({maxHeaderSize: parserHeaderBytes}, (req, res) => {
			this._active++;
			res.once('close', () => {
				this._active--;
			});
			if (this._isDraining) {
				res.setHeader('connection', 'close');
			}

			this._receive(req, res);
		});
		// Time limits of requests belong to the routes.
		this._server.requestTimeout = 0;
	}

	/** Requests in progress. */
	get active(): number {
		return this._active;
	}

	/** Starts to listen. */
	async listen({host, port}: ListenAddress): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this._server.once('error', reject);
			this._server.listen(port, host, resolve);
		});
	}

	/** Applies the limits of a configuration to new requests. */
	setLimits(limits: CallerLimits): void {
		this._limits = limits;
		this._server.headersTimeout = limits.headerTimeoutMs + idleMarginMs;
		this._server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** From now on answers ask callers to close their connections. */
	drain(): void {
		this._isDraining = true;
	}

	/** Takes no new connections, closes those that are idle, and refuses what still comes on the others. */
	close(): void {
		this._isClosed = true;
		this._server.close();
		this._server.closeIdleConnections();
	}

	dispose(): void {
		this._server.close();
		this._server.closeAllConnections();
	}

	private _receive(req: IncomingMessage, res: ServerResponse): void {
		const sink = new HttpCallerSink(res, this._codec);
		if (this._isClosed) {
			sink.refuse({
				status: 503, code: 'stopping', ran: 'no', retryAfterSeconds: stoppingRetrySeconds,
			});
			req.resume();
			return;
		}

		const maxBytes = this._limits?.maxBodyBytes ?? defaultBodyBytes;
		if (this._limits && headerBytes(req) > this._limits.maxHeaderBytes) {
			sink.refuse({status: 431, code: 'header-too-large', ran: 'no'});
			req.resume();
			return;
		}

		const chunks: Uint8Array[] = [];
		let size = 0;
		let isRefused = false;
		const refuseBody = () => {
			isRefused = true;
			res.setHeader('connection', 'close');
			sink.refuse({status: 413, code: 'body-too-large', ran: 'no'});
			req.resume();
		};

		if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
			refuseBody();
			return;
		}

		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (isRefused) {
				return;
			}

			if (size > maxBytes) {
				refuseBody();
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			if (!isRefused) {
				this._forward(req, sink, size === 0 ? undefined : (chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
			}
		});
	}

	private _forward(req: IncomingMessage, sink: HttpCallerSink, body: Uint8Array | undefined): void {
		const decoded = this._codec.decode({
			method: req.method ?? 'GET', target: req.url ?? '/', headers: req.rawHeaders, body,
		});
		if ('status' in decoded) {
			sink.refuse(decoded);
		} else {
			this._forwarder.forward(decoded, sink);
		}
	}
}

/** Bytes of the head of a request as it was sent, but for white space. */
function headerBytes(req: IncomingMessage): number {
	let bytes = headerEndBytes + (req.url?.length ?? 0);
	for (const text of req.rawHeaders) {
		bytes += text.length + 2;
	}

	return bytes;
}
