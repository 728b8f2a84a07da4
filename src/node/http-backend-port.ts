import {Buffer} from 'node:buffer';
import {buildConnector, type Dispatcher, Pool} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {type Logger} from '../common/base/logger.js';
import {type AttemptEvents, type AttemptHandle, type BackendPort} from '../common/forwarding/backend-port.js';
import {type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';
import {type BackendCodec} from './backend-codec.js';

/** A connection attempt that takes longer, in milliseconds, counts as failed: several times the round trip to another zone. */
const connectTimeoutMs = 600;
/** Time in milliseconds for which an idle connection is kept when the backend server names none. */
const idleMs = 10_000;

/** Connections to one address. */
type Target = {
	readonly pool: Pool;
	/** Attempts whose answer has no length and ends with its connection. */
	readonly unframed: Set<HttpAttempt>;
};

/** Sends attempts over kept-alive HTTP connections, a pool for each address. */
export class HttpBackendPort implements BackendPort, Disposable {
	private readonly _targets = new Map<string, Target>();

	constructor(private readonly _codec: BackendCodec, private readonly _logger: Logger) {}

	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle {
		const {pool, unframed} = this._target(terms);
		const exchange = new HttpAttempt(this._codec, terms, events, unframed);
		try {
			pool.dispatch({
				method: message.method,
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
		for (const [address, {pool}] of this._targets) {
			if (!addresses.has(address)) {
				this._targets.delete(address);
				void this._close(address, pool);
			}
		}
	}

	dispose(): void {
		for (const {pool} of this._targets.values()) {
			void pool.destroy();
		}

		this._targets.clear();
	}

	private _target({address, maxConnections}: AttemptTerms): Target {
		let target = this._targets.get(address);
		if (!target) {
			const unframed = new Set<HttpAttempt>();
			const pool = new Pool(`http://${address}`, {
				connections: maxConnections,
				pipelining: 1,
				connect: connectorFor(unframed),
				keepAliveTimeout: idleMs,
				allowH2: false,
			});
			target = {pool, unframed};
			this._targets.set(address, target);
		}

		return target;
	}

	private async _close(address: string, pool: Pool): Promise<void> {
		try {
			await pool.close();
		} catch (error) {
			this._logger.warn({address, err: error}, 'connections could not be closed');
		}
	}
}

/**
Connects, and notes a reset for the answers without a length at the same address: the HTTP client takes a reset for the
end of such an answer. Which of several such answers was meant is not known, so all of them count as broken.
*/
function connectorFor(unframed: ReadonlySet<HttpAttempt>): buildConnector.connector {
	const connect = buildConnector({timeout: connectTimeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			socket?.once('error', () => {
				for (const attempt of unframed) {
					attempt.noteReset();
				}
			});
			callback(...result);
		});
	};
}

/** One attempt as the HTTP client drives it. */
class HttpAttempt implements AttemptHandle, Dispatcher.DispatchHandler {
	private _controller: Dispatcher.DispatchController | undefined;
	private _isOver = false;
	private _isReset = false;

	constructor(
		private readonly _codec: BackendCodec,
		private readonly _terms: AttemptTerms,
		private readonly _events: AttemptEvents,
		private readonly _unframed: Set<HttpAttempt>,
	) {}

	/** A connection over which the answer may come was reset. */
	noteReset(): void {
		this._isReset = true;
	}

	abort(): void {
		if (!this._isOver) {
			this._finish();
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
			if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
				this._unframed.add(this);
			}

			this._events.onHead(this._codec.decodeHead(status, headers, this._terms.requestId));
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this._isOver && !this._events.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this._isOver) {
			return;
		}

		this._finish();
		if (this._isReset) {
			this._events.onFailure({isUnsent: false, reason: 'reset-at-the-end'});
		} else {
			this._events.onEnd();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		if (!this._isOver) {
			this._finish();
			const {code, message} = error as {code?: string; message: string};
			// Without a start the client had no connection, so nothing was written.
			this._events.onFailure({isUnsent: this._controller === undefined, reason: code ?? message});
		}
	}

	private _finish(): void {
		this._isOver = true;
		this._unframed.delete(this);
	}
}
