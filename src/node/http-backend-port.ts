import {Pool, type Dispatcher} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {type Logger} from '../common/base/logger.js';
import {type AttemptEvents, type AttemptHandle, type BackendPort} from '../common/forwarding/backend-port.js';
import {type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';
import {type BackendCodec} from './backend-codec.js';

/** A connection attempt that takes longer, in milliseconds, counts as failed: several times the round trip to another zone. */
const connectTimeoutMs = 600;
/** Time in milliseconds for which an idle connection is kept when the backend server names none. */
const idleMs = 10_000;

/** Sends attempts over kept-alive HTTP connections, a pool for each address. */
export class HttpBackendPort implements BackendPort, Disposable {
	private readonly _pools = new Map<string, Pool>();

	constructor(private readonly _codec: BackendCodec, private readonly _logger: Logger) {}

	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle {
		const exchange = new HttpAttempt(this._codec, terms, events);
		try {
			this._pool(terms).dispatch({
				method: message.method as Dispatcher.HttpMethod,
				path: message.target,
				headers: this._codec.encodeHeaders(message, terms),
				body: message.body && Buffer.from(message.body.buffer, message.body.byteOffset, message.body.byteLength),
				headersTimeout: 0,
				bodyTimeout: 0,
				// The client must not send a request again by itself.
				idempotent: false,
				blocking: false,
			}, exchange);
		} catch (error) {
			exchange.onResponseError(undefined, error as Error);
		}

		return exchange;
	}

	/** Closes the connections to all other addresses once their requests have ended. */
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
				connect: {timeout: connectTimeoutMs},
				keepAliveTimeout: idleMs,
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

/** One attempt as the HTTP client drives it. */
class HttpAttempt implements AttemptHandle, Dispatcher.DispatchHandler {
	private _controller: Dispatcher.DispatchController | undefined;
	private _isOver = false;

	constructor(private readonly _codec: BackendCodec, private readonly _terms: AttemptTerms, private readonly _events: AttemptEvents) {}

	abort(): void {
		if (!this._isOver) {
			this._isOver = true;
			this._controller?.abort(new Error('the attempt is not used any more'));
		}
	}

	resume(): void {
		this._controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this._controller = controller;
		if (this._isOver) {
			controller.abort(new Error('the attempt is not used any more'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>): void {
		if (!this._isOver && status >= 200) {
			this._events.onHead(this._codec.decodeHead(status, headers, this._terms.requestId));
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this._isOver && !this._events.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (!this._isOver) {
			this._isOver = true;
			this._events.onEnd();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		if (!this._isOver) {
			this._isOver = true;
			const {code, message} = error as {code?: string; message: string};
			// Without a start the client had no connection, so nothing was written.
			this._events.onFailure({isUnsent: this._controller === undefined, reason: code ?? message});
		}
	}
}
