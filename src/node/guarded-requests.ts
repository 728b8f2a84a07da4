import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import process from 'node:process';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {type Event} from '../common/base/event.js';
import {type HeldPart} from '../common/base/held-bytes.js';
import {ReadPacer, type ReadRates, type ReadTurns} from './read-pacer.js';
import {RequestScanner} from './request-scanner.js';

/** Rates of the requests of callers: a chunk of one byte costs the HTTP server about 9 µs. */
const requestRates: ReadRates = {
	ownRate: 100, ownBurst: 10, sharedRate: 30_000, sharedBurst: 128, turn: 64,
};

/**
Bounds what the requests on the connections of an HTTP server cost it: bytes besides their bodies are limited, small chunks and
requests that arrive together wait for their turn, and nothing is parsed after the server has reported bytes that are no request.
*/
export class RequestGuard implements Disposable {
	private readonly _pacer: ReadPacer;

	/**
	Requests that exceed a limit are reported as `clientError`, like those that the server cannot parse.

	@param hold opens a part of a connection for the heads of its requests that are not complete.
	*/
	constructor(server: Server, clock: Clock, hold?: (socket: Socket) => HeldPart) {
		this._pacer = new ReadPacer(clock, requestRates);
		const connections = new WeakMap<Socket, GuardedConnection>();
		server.on('connection', (socket: Socket) => {
			connections.set(socket, new GuardedConnection(socket, this._pacer, hold?.(socket), error => {
				server.emit('clientError', error, socket);
			}));
		});
		server.prependListener('clientError', (_error: Error, socket: Socket) => {
			connections.get(socket)?.giveUp();
		});
	}

	/** Raised with the address of a caller once for each connection that is slowed down. */
	get onSlowed(): Event<string> {
		return this._pacer.onSlowed;
	}

	dispose(): void {
		this._pacer.dispose();
	}
}

/** A connection that hands bytes to the HTTP server when their turn has come. */
class GuardedConnection {
	private readonly _scanner = new RequestScanner();
	private readonly _turns: ReadTurns;
	private readonly _deliver: (bytes: Uint8Array) => void;
	private readonly _pause: () => Socket;
	private readonly _resume: () => Socket;
	private readonly _emitEnd: () => void;
	/** Bytes that were read from the connection, and not handed over yet. */
	private _unread: Uint8Array | undefined;
	/** Size of the last read; its memory is held until all of it was handed over. */
	private _readBytes = 0;
	private _isPaused = false;
	private _isDelivering = false;
	/** Whether the connection is paused because it has unread bytes. */
	private _isHeld = false;
	private _isGivenUp = false;
	/** Whether the caller has ended the connection after bytes that are unread. */
	private _hasEnded = false;

	constructor(private readonly _socket: Socket, pacer: ReadPacer, private readonly _heldHead: HeldPart | undefined, private readonly _onOverhead: (error: Error) => void) {
		this._turns = pacer.open(_socket.remoteAddress ?? '', () => {
			this._deliverUnread();
		});
		_socket.once('close', () => {
			this._unread = undefined;
			this._turns.dispose();
			this._heldHead?.dispose();
		});
		this._pause = _socket.pause.bind(_socket);
		this._resume = _socket.resume.bind(_socket);
		_socket.pause = () => {
			this._isPaused = true;
			return this._pause();
		};

		_socket.resume = () => {
			this._isPaused = false;
			if (this._unread) {
				// The server resumes a connection while it parses.
				process.nextTick(() => {
					this._deliverUnread();
				});
			} else if (!this._isGivenUp) {
				this._resume();
			}

			return _socket;
		};

		const emit = _socket.emit.bind(_socket);
		this._emitEnd = () => {
			emit('end');
		};

		_socket.emit = (event: string | symbol, ...args: unknown[]) => {
			if (event === 'end' && (this._unread !== undefined || this._isGivenUp)) {
				this._hasEnded = true;
				return true;
			}

			return emit(event, ...args);
		};

		// The server takes the bytes from the handle of the connection until there is another listener.
		const [deliver] = _socket.listeners('data') as [(bytes: Uint8Array) => void];
		this._deliver = deliver;
		_socket.off('data', deliver);
		_socket.on('data', (bytes: Uint8Array) => {
			this._receive(bytes);
		});
	}

	/** Hands nothing over any more, and reads no more. */
	giveUp(): void {
		this._isGivenUp = true;
		this._unread = undefined;
		this._pause();
	}

	private _receive(bytes: Uint8Array): void {
		if (!this._isGivenUp) {
			this._scanner.beginRead();
			this._unread = bytes;
			this._readBytes = bytes.length;
			this._deliverUnread();
		}
	}

	private _deliverUnread(): void {
		if (this._isDelivering) {
			return;
		}

		this._isDelivering = true;
		while (this._unread && !this._isPaused && !this._turns.isWaiting && !this._socket.destroyed) {
			const bytes = this._takeUnread(this._unread);
			if (bytes.length > 0) {
				this._deliver(bytes);
			}
		}

		this._isDelivering = false;
		if (this._unread && !this._isHeld) {
			this._isHeld = true;
			this._pause();
		} else if (!this._unread && this._isHeld) {
			this._isHeld = false;
			if (!this._isPaused && !this._isGivenUp) {
				this._resume();
			}

			if (this._hasEnded && !this._isGivenUp) {
				this._emitEnd();
			}
		}
	}

	/** Returns the bytes whose turn has come; the connection waits for the turn of the others. */
	private _takeUnread(unread: Uint8Array): Uint8Array {
		try {
			const {bytes, units} = this._scanner.follow(unread, this._turns.available);
			this._turns.take(units);
			this._unread = bytes < unread.length ? unread.subarray(bytes) : undefined;
			this._heldHead?.set(this._scanner.headMemory + (this._unread ? this._readBytes : 0));
			if (this._socket.destroyed) {
				// The part was given up.
				return unread.subarray(0, 0);
			}

			if (this._unread) {
				this._turns.wait();
			}

			return unread.subarray(0, bytes);
		} catch (error) {
			this._onOverhead(error as Error);
			return unread.subarray(0, 0);
		}
	}
}
