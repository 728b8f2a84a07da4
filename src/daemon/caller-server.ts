import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {ByteBuffer} from '../common/base/byte-buffer.js';
import {type Disposable} from '../common/base/disposable.js';
import {Emitter} from '../common/base/emitter.js';
import {type Event} from '../common/base/event.js';
import {
	HeldBytes, heldKind, type HeldKind, type HeldPart,
} from '../common/base/held-bytes.js';
import {type Refusal} from '../common/forwarding/caller-sink.js';
import {type ForwardRequest} from '../common/forwarding/forward-request.js';
import {type Forwarder} from '../common/forwarding/forwarder.js';
import {type CallerLimits} from '../common/forwarding/routing-config.js';
import {RequestGuard} from '../node/guarded-requests.js';
import {SystemClock} from '../node/system-clock.js';
import {type CallerCodec} from './caller-codec.js';
import {CallerConnections} from './caller-connections.js';
import {HttpCallerSink} from './http-caller-sink.js';
import {listen} from './listen.js';
import {type ListenAddress} from './listen-address.js';
import {rejectionStatus} from './rejection-status.js';

/** Largest request head in bytes that the HTTP parser accepts; the configured limit is checked afterwards. */
const parserHeaderBytes = 64 * 1024;
/** Body limit in bytes until the first configuration is applied. */
const defaultBodyBytes = 4 * 1024 * 1024;
/** Time in milliseconds for which an idle connection outlives the configured timeout, so that no request races with its close. */
const idleMarginMs = 1000;
/** Memory in bytes that a request takes besides its body and what follows, about. */
const requestBytes = 8 * 1024;
/** Memory in bytes that a header of a request and a part of its prompt take besides their text, about. */
const headerMemoryBytes = 100;
const promptPartBytes = 100;
const headerEndBytes = 4;
/** Retry time in seconds that a stopping host sends to callers, which then try another host. */
const stoppingRetrySeconds = 0.05;

/** HTTP server that reads requests of callers and passes them to the forwarder. */
export class CallerServer implements Disposable {
	private readonly _server: Server;
	private readonly _connections: CallerConnections;
	private readonly _onError = new Emitter<Error>();
	private readonly _onRejected = new Emitter<Error>();
	private readonly _guard: RequestGuard;
	private _limits: CallerLimits | undefined;
	private _isClosed = false;
	private readonly _open = new Set<HttpCallerSink>();

	constructor(private readonly _forwarder: Forwarder, private readonly _codec: CallerCodec, private readonly _held = new HeldBytes()) {
		this._server = createServer({maxHeaderSize: parserHeaderBytes}, (req, res) => {
			if (!this._connections.add(req.socket, res)) {
				// The caller was told that the connection closes and sends the request again elsewhere.
				req.resume();
				return;
			}

			const {socket} = req;
			const [body, answer] = [this._hold(socket, heldKind.request), this._hold(socket, heldKind.unsentAnswer)];
			const sink = new HttpCallerSink(res, this._codec, unsent => {
				answer.set(unsent);
			});
			this._open.add(sink);
			res.once('close', () => {
				this._open.delete(sink);
				body.dispose();
				answer.dispose();
			});
			this._receive(req, res, sink, body);
		});
		this._guard = new RequestGuard(this._server, new SystemClock(), socket => this._hold(socket, heldKind.requestHead));
		this._connections = new CallerConnections(this._server);
		this._server.on('clientError', (error: Error, socket: Socket) => {
			this._onRejected.fire(error);
			this._connections.reject(socket, rejectionStatus(error));
		});
		// Each route has its own timeout.
		this._server.requestTimeout = 0;
	}

	/** Number of requests in flight. */
	get active(): number {
		return this._open.size;
	}

	/** Raised when a connection cannot be accepted. */
	get onError(): Event<Error> {
		return this._onError.event;
	}

	/** Raised when bytes of a caller are no request. */
	get onRejected(): Event<Error> {
		return this._onRejected.event;
	}

	/** Raised with the address of a caller once a connection when its bytes are slowed down because they cost much time. */
	get onSlowed(): Event<string> {
		return this._guard.onSlowed;
	}

	/** Starts to listen; a failed attempt may be repeated. @returns the port. */
	async listen({host, port}: ListenAddress): Promise<number> {
		await listen(this._server, {host, port});
		// Without a listener, an error of a connection that cannot be accepted ends the process.
		this._server.on('error', error => {
			this._onError.fire(error);
		});
		return (this._server.address() as AddressInfo).port;
	}

	/** Applies the limits of a configuration to new requests. */
	setLimits(limits: CallerLimits): void {
		this._limits = limits;
		this._server.headersTimeout = limits.headerTimeoutMs + idleMarginMs;
		this._server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** Makes further responses ask callers to close their connections. */
	drain(): void {
		this._connections.drain();
	}

	/** Refuses new requests as not run. */
	refuseNew(): void {
		this._isClosed = true;
	}

	/** Accepts no new connections, closes idle ones, and refuses new requests on the remaining ones. */
	close(): void {
		this.refuseNew();
		this._connections.close();
	}

	/** Ends all answers in flight, because the process ends: the kernel would close their connections as if they were complete. */
	stop(): void {
		this._forwarder.stop();
		for (const sink of this._open) {
			sink.break();
		}
	}

	dispose(): void {
		this._guard.dispose();
		this._server.close();
		this._server.closeAllConnections();
	}

	/** Opens a part for the bytes of a connection; giving it up resets the connection, so that no answer looks complete. */
	private _hold(socket: Socket, kind: HeldKind): HeldPart {
		return this._held.open(socket, socket.remoteAddress ?? '', () => {
			socket.resetAndDestroy();
		}, kind);
	}

	private _receive(req: IncomingMessage, res: ServerResponse, sink: HttpCallerSink, held: HeldPart): void {
		const headMemory = requestBytes + headBytes(req) + (req.rawHeaders.length / 2 * headerMemoryBytes);
		held.set(headMemory);
		if (this._isClosed) {
			sink.refuse({
				status: 503, code: 'stopping', ran: 'no', retryAfterSeconds: stoppingRetrySeconds,
			});
			req.resume();
			return;
		}

		const maxBytes = this._limits?.maxBodyBytes ?? defaultBodyBytes;
		if (this._limits && headBytes(req) > this._limits.maxHeaderBytes) {
			this._refuse(req, sink, {status: 431, code: 'header-too-large', ran: 'no'});
			req.resume();
			return;
		}

		const body = new ByteBuffer();
		let size = 0;
		let isRefused = false;
		const refuseBody = () => {
			isRefused = true;
			res.setHeader('connection', 'close');
			this._refuse(req, sink, {status: 413, code: 'body-too-large', ran: 'no'});
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

			body.push(chunk);
			held.set(headMemory + size);
		});
		req.once('end', () => {
			// The connection may have been given up since the head of the request.
			if (!isRefused && !req.socket.destroyed) {
				const decoded = this._decode(req, size === 0 ? undefined : body.take());
				if ('status' in decoded) {
					sink.refuse(decoded);
					return;
				}

				held.set(headMemory + size + ((decoded.generation?.parts.length ?? 0) * promptPartBytes));
				// This part may have been given up.
				if (!req.socket.destroyed) {
					this._forwarder.forward(decoded, sink);
				}
			}
		});
	}

	/** Refuses a request for a limit of the configuration. */
	private _refuse(req: IncomingMessage, sink: HttpCallerSink, refusal: Refusal): void {
		const decoded = this._decode(req, undefined);
		this._forwarder.refuse(refusal, 'status' in decoded ? undefined : decoded.id, sink);
	}

	private _decode(req: IncomingMessage, body: Uint8Array | undefined): ForwardRequest | Refusal {
		return this._codec.decode({
			method: req.method ?? 'GET', target: req.url ?? '/', headers: req.rawHeaders, body,
		});
	}
}

/** Size of a request head in bytes, without its method, its HTTP version and optional white space. */
function headBytes(req: IncomingMessage): number {
	let bytes = headerEndBytes + (req.url?.length ?? 0);
	for (const text of req.rawHeaders) {
		bytes += text.length + 2;
	}

	return bytes;
}
