import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type buildConnector, type Dispatcher, Pool} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {type Logger} from '../common/base/logger.js';
import {
	type AttemptEvents, type AttemptHandle, type BackendPort, withdrawnReason,
} from '../common/forwarding/backend-port.js';
import {hasBody} from '../common/forwarding/has-body.js';
import {type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';
import {type BackendCodec} from './backend-codec.js';
import {timedConnector} from './timed-connector.js';

/** Connect timeout in milliseconds: several times the round trip to another availability zone. */
const connectTimeoutMs = 600;
/** Time in milliseconds for which an idle connection is kept, unless the backend server states another time. */
const idleTimeoutMs = 10_000;

/** Sends attempts over persistent HTTP connections, with one pool per address. */
export class HttpBackendPort implements BackendPort, Disposable {
	private readonly _pools = new Map<string, Pool>();

	constructor(private readonly _codec: BackendCodec, private readonly _logger: Logger) {}

	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle {
		const attempt = new HttpAttempt(this._codec, message, terms, events);
		try {
			this._pool(terms).dispatch({
				method: message.method,
				path: message.target,
				headers: this._codec.encodeHeaders(message, terms),
				body: message.body && Buffer.from(message.body.buffer, message.body.byteOffset, message.body.byteLength),
				headersTimeout: 0,
				bodyTimeout: 0,
				// The client must not retry a request on its own.
				idempotent: false,
				blocking: false,
			}, attempt);
		} catch (error) {
			attempt.onResponseError(undefined, error as Error);
		}

		return attempt;
	}

	/** Closes the connections to all other addresses after their requests in flight have ended. */
	retain(addresses: ReadonlySet<string>): void {
		for (const [address, pool] of this._pools) {
			if (!addresses.has(address)) {
				this._pools.delete(address);
				void this._close(address, pool);
			}
		}
	}

	dispose(): void {
		for (const pool of this._pools.values()) {
			void pool.destroy();
		}

		this._pools.clear();
	}

	private _pool({address, maxConnections}: AttemptTerms): Pool {
		let pool = this._pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {
				connections: maxConnections,
				pipelining: 1,
				connect: closingConnector(),
				keepAliveTimeout: idleTimeoutMs,
				allowH2: false,
			});
			this._pools.set(address, pool);
		}

		return pool;
	}

	private async _close(address: string, pool: Pool): Promise<void> {
		try {
			await pool.close();
		} catch (error) {
			this._logger.warn({address, err: error}, 'connections could not be closed');
		}
	}
}

/** Code of the error with which the HTTP client closes a connection itself. */
const clientClosedCode = 'UND_ERR_INFO';

/**
Creates a connector whose connections stay closed. The HTTP client opens a new one in place of one that it closed to abort a
request, because it treats errors with its own code as if the request were still to be sent.
*/
function closingConnector(): buildConnector.connector {
	const connectWithin = timedConnector(connectTimeoutMs);
	return (options, callback) => {
		connectWithin(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				closeForGood(socket);
			}

			callback(...result);
		});
	};
}

function closeForGood(socket: Socket): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = (error?: Error) => destroy((error as {code?: string} | undefined)?.code === clientClosedCode ? new Error(error!.message) : error);
}

/** One attempt, driven by the events of the HTTP client. */
class HttpAttempt implements AttemptHandle, Dispatcher.DispatchHandler {
	private _controller: Dispatcher.DispatchController | undefined;
	private _isFinished = false;

	constructor(
		private readonly _codec: BackendCodec,
		private readonly _message: ForwardMessage,
		private readonly _terms: AttemptTerms,
		private readonly _events: AttemptEvents,
	) {}

	abort(): void {
		if (!this._isFinished) {
			this._isFinished = true;
			this._controller?.abort(new Error('the attempt was aborted'));
		}
	}

	resume(): void {
		this._controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this._isFinished || !this._events.mayStart()) {
			// An error at this point drops the request and keeps the connection, on which nothing was written.
			throw new Error(withdrawnReason);
		}

		this._controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (!this._isFinished && status >= 200) {
			this._events.onHead(this._codec.decodeHead(status, headers, this._terms.requestId));
			if (!hasBody(this._message.method, status)) {
				// The client would check the stated length against the body that such an answer does not have.
				this.onResponseEnd();
			}
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		// The client reports no bytes when it resumes; a pause at that point would never end.
		if (!this._isFinished && chunk.length > 0 && !this._events.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (!this._isFinished) {
			this._isFinished = true;
			this._events.onEnd();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		if (!this._isFinished) {
			this._isFinished = true;
			const {code, message} = (error.cause ?? error) as {code?: string; message: string};
			// Before `onRequestStart` the client has no connection, so nothing was written.
			this._events.onFailure({isUnsent: this._controller === undefined, reason: code ?? message});
		}
	}
}
