import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type buildConnector, type Dispatcher, Pool} from 'undici';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {HeldBytes} from '../common/base/held-bytes.js';
import {type Logger} from '../common/base/logger.js';
import {
	type AttemptEvents, type AttemptHandle, type BackendPort, withdrawnReason,
} from '../common/forwarding/backend-port.js';
import {hasBody} from '../common/forwarding/has-body.js';
import {type AttemptTerms, type ForwardMessage} from '../common/forwarding/forward-request.js';
import {type BackendCodec} from './backend-codec.js';
import {ReadPacer} from './read-pacer.js';
import {SystemClock} from './system-clock.js';
import {timedConnector} from './timed-connector.js';

/** Connect timeout in milliseconds: several times the round trip to another availability zone. */
const connectTimeoutMs = 600;
/** Time in milliseconds for which an idle connection is kept, unless the backend server states another time. */
const idleTimeoutMs = 10_000;

/** Connection pool of one address. */
type Target = {
	readonly pool: Pool;
	readonly maxConnections: number;
	/** Attempts that have not ended. */
	readonly attempts: Set<HttpAttempt>;
};

/** Handle of an attempt that has failed before it was passed to the HTTP client. */
const unsentAttempt: AttemptHandle = {
	abort: () => undefined,
	resume: () => undefined,
};

/** Sends attempts over persistent HTTP connections, with one pool per address. */
export class HttpBackendPort implements BackendPort, Disposable {
	private readonly _targets = new Map<string, Target>();
	private readonly _pacer: ReadPacer;

	/** `_held` limits the memory for heads of answers. */
	constructor(private readonly _codec: BackendCodec, private readonly _logger: Logger, private readonly _clock: Clock = new SystemClock(), private readonly _held = new HeldBytes()) {
		this._pacer = new ReadPacer(_clock);
		this._pacer.onSlowed(address => {
			_logger.info({address}, 'answer arrives in small chunks and is slowed down');
		});
	}

	send(message: ForwardMessage, terms: AttemptTerms, events: AttemptEvents): AttemptHandle {
		let target: Target;
		try {
			target = this._target(terms);
		} catch (error) {
			// The address may come from another release of this program, which checks less.
			this._logger.warn({server: terms.serverId, address: terms.address, err: error}, 'server has no valid address');
			events.onFailure({isUnsent: true, reason: 'invalid-address'});
			return unsentAttempt;
		}

		const attempt = new HttpAttempt({
			codec: this._codec, clock: this._clock, target, message, terms, events,
		});
		attempt.dispatch();
		return attempt;
	}

	/** Closes the connections to all other addresses after their running requests have ended; withdraws those that were not written yet. */
	retain(addresses: ReadonlySet<string>): void {
		for (const [address, target] of this._targets) {
			if (!addresses.has(address)) {
				this._targets.delete(address);
				void this._close(address, target.pool);
				for (const attempt of target.attempts) {
					attempt.withdraw();
				}
			}
		}
	}

	dispose(): void {
		this._pacer.dispose();
		for (const {pool} of this._targets.values()) {
			void pool.destroy();
		}

		this._targets.clear();
	}

	private _target({address, maxConnections}: AttemptTerms): Target {
		const present = this._targets.get(address);
		let target = present;
		// A pool cannot grow.
		if (!target || (target.attempts.size >= target.maxConnections && target.maxConnections < maxConnections)) {
			const pool = new Pool(`http://${address}`, {
				connections: maxConnections,
				pipelining: 1,
				connect: closingConnector(this._pacer, this._held),
				keepAliveTimeout: idleTimeoutMs,
				allowH2: false,
			});
			target = {pool, maxConnections, attempts: new Set()};
			this._targets.set(address, target);
			if (present) {
				void this._close(address, present.pool);
			}
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

/** Code of the error with which the HTTP client closes a connection itself. */
const clientClosedCode = 'UND_ERR_INFO';

/**
Creates a connector whose connections stay closed. The HTTP client opens a new one in place of one that it closed to abort a
request, because it treats errors with its own code as if the request were still to be sent.
*/
function closingConnector(pacer: ReadPacer, held: HeldBytes): buildConnector.connector {
	const connectWithin = timedConnector(connectTimeoutMs, pacer, held);
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

/** Age in milliseconds of the headers of a request at its write from which they are made anew. */
const maxHeaderAgeMs = 50;

/** What one attempt consists of. */
interface HttpAttemptOptions {
	readonly codec: BackendCodec;
	readonly clock: Clock;
	readonly target: Target;
	readonly message: ForwardMessage;
	readonly terms: AttemptTerms;
	readonly events: AttemptEvents;
}

/** One attempt, driven by the events of the HTTP client. */
class HttpAttempt implements AttemptHandle, Dispatcher.DispatchHandler {
	private readonly _codec: BackendCodec;
	private readonly _message: ForwardMessage;
	private readonly _terms: AttemptTerms;
	private readonly _events: AttemptEvents;
	private readonly _createdAt: number;
	private _encodedAt = 0;
	private _controller: Dispatcher.DispatchController | undefined;
	private _isOutdated = false;
	private _isFinished = false;

	constructor(private readonly _options: HttpAttemptOptions) {
		this._codec = _options.codec;
		this._message = _options.message;
		this._terms = _options.terms;
		this._events = _options.events;
		this._createdAt = _options.clock.now();
		_options.target.attempts.add(this);
	}

	/** Passes the request to the HTTP client, which writes it when a connection is free. */
	dispatch(): void {
		const {clock, target: {pool}} = this._options;
		this._encodedAt = clock.now();
		const remainingMs = Math.max(1, Math.floor(this._terms.remainingMs - (this._encodedAt - this._createdAt)));
		try {
			pool.dispatch({
				method: this._message.method,
				path: this._message.target,
				headers: this._codec.encodeHeaders(this._message, {...this._terms, remainingMs}),
				body: this._message.body && Buffer.from(this._message.body.buffer, this._message.body.byteOffset, this._message.body.byteLength),
				headersTimeout: 0,
				bodyTimeout: 0,
				// The client must not retry a request on its own.
				idempotent: false,
				blocking: false,
			}, this);
		} catch (error) {
			this.onResponseError(undefined, error as Error);
		}
	}

	/** Ends the attempt if nothing of the request was written yet. */
	withdraw(): void {
		if (!this._isFinished && !this._controller) {
			this._finish();
			this._events.onFailure({isUnsent: true, reason: withdrawnReason});
		}
	}

	abort(): void {
		if (!this._isFinished) {
			this._finish();
			this._controller?.abort(new Error('the attempt was aborted'));
		}
	}

	resume(): void {
		this._controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this._isFinished) {
			throw new Error(withdrawnReason);
		}

		// Checked first: a request that may start counts as written, for example to a cold server.
		if (this._options.clock.now() - this._encodedAt > maxHeaderAgeMs) {
			this._isOutdated = true;
			throw new Error('the headers are out of date');
		}

		if (!this._events.mayStart()) {
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
			this._finish();
			this._events.onEnd();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		if (this._isOutdated) {
			this._isOutdated = false;
			// The connection is free when the client has dropped the request.
			queueMicrotask(() => {
				if (!this._isFinished) {
					this.dispatch();
				}
			});
		} else if (!this._isFinished) {
			this._finish();
			const {code, message} = (error.cause ?? error) as {code?: string; message: string};
			// Before `onRequestStart` the client has no connection, so nothing was written.
			this._events.onFailure({isUnsent: this._controller === undefined, reason: code ?? message});
		}
	}

	private _finish(): void {
		this._isFinished = true;
		this._options.target.attempts.delete(this);
	}
}
