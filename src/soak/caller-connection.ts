import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {type Clock} from '../common/base/clock.js';
import {type Disposable} from '../common/base/disposable.js';
import {sleep} from '../common/base/sleep.js';
import {AnswerReader} from './answer-reader.js';
import {answerEnd, type AnswerEnd} from './judges/soak-history.js';

/** Exchange of one request. Times are in milliseconds. */
export interface Exchange {
	/** Bytes of the request, in the pieces in which they are sent. */
	readonly pieces: readonly string[];
	readonly pieceMs: number;
	readonly isOldCaller: boolean;
	/** Pause between two reads; 0 to read without pauses. */
	readonly readPauseMs: number;
	/** Time after which the caller leaves. */
	readonly leaveMs: number | undefined;
	readonly deadlineMs: number;
}

/** How an exchange ended. */
export interface ExchangeResult {
	readonly end: AnswerEnd;
	readonly reader: AnswerReader;
	readonly lastByteAt: number | undefined;
}

/** Connection of a caller, which sends one request at a time and sees each byte and how the connection ends. */
export class CallerConnection {
	/** Number of exchanges so far. */
	exchanges = 0;
	/** Bytes that came while no request was waiting. */
	idleBytes = '';
	/** Local port, once the connection is open. */
	port: number | undefined;
	private readonly _socket: Socket;
	private _isOpen = false;
	private _isEnded = false;
	private _onBytes: ((bytes: Uint8Array) => void) | undefined;
	private _onEnded: ((isRegular: boolean) => void) | undefined;

	constructor(host: string, port: number, private readonly _clock: Clock) {
		this._socket = connect({host, port, noDelay: true});
		this._socket.once('connect', () => {
			this._isOpen = true;
			this.port = this._socket.localPort;
		});
		this._socket.on('data', bytes => {
			if (this._onBytes) {
				this._onBytes(bytes);
			} else if (!this._isEnded) {
				this.idleBytes += bytes.toString('latin1');
			}
		});
		this._socket.once('end', () => {
			// Node.js reports a reset that comes with the last bytes as an end, but then there is no peer any more.
			this._finish(this._socket.remoteAddress !== undefined);
		});
		this._socket.once('error', () => {
			this._finish(false);
		});
		this._socket.once('close', () => {
			this._finish(false);
		});
	}

	get isEnded(): boolean {
		return this._isEnded;
	}

	/** Closes the connection; what still comes on it is not read. */
	close(): void {
		this._isEnded = true;
		this._socket.destroy();
	}

	/** Sends a request and reads until the answer is complete, the connection ends, or the time is over. */
	async exchange(exchange: Exchange): Promise<ExchangeResult> {
		this.exchanges++;
		const reader = new AnswerReader(exchange.isOldCaller);
		let lastByteAt: number | undefined;
		const timers: Disposable[] = [];
		const end = await new Promise<AnswerEnd>(resolve => {
			const interrupted = () => reader.head ? answerEnd.cut : (this._isOpen ? answerEnd.none : answerEnd.unreachable);
			this._onBytes = bytes => {
				reader.push(bytes);
				if (reader.isComplete || reader.isInvalid) {
					resolve(reader.isComplete ? answerEnd.complete : interrupted());
				} else if (exchange.readPauseMs > 0) {
					this._socket.pause();
					timers.push(this._clock.setTimer(exchange.readPauseMs, () => this._socket.resume()));
				}
			};

			this._onEnded = isRegular => {
				if (isRegular) {
					reader.end();
				}

				resolve(reader.isComplete ? answerEnd.complete : interrupted());
			};

			timers.push(this._clock.setTimer(exchange.deadlineMs, () => {
				resolve(answerEnd.late);
			}));
			if (exchange.leaveMs !== undefined) {
				timers.push(this._clock.setTimer(exchange.leaveMs, () => {
					resolve(answerEnd.left);
				}));
			}

			if (this._isEnded) {
				resolve(interrupted());
			}

			void (async () => {
				for (const piece of exchange.pieces) {
					this._socket.write(Buffer.from(piece, 'latin1'));
					await sleep(this._clock, exchange.pieceMs); // eslint-disable-line no-await-in-loop -- one piece after the other
				}

				lastByteAt = this._clock.now();
			})();
		});
		this._onBytes = undefined;
		this._onEnded = undefined;
		for (const timer of timers) {
			timer.dispose();
		}

		this._socket.resume();
		if (!reader.isReusable || reader.surplus !== '' || lastByteAt === undefined) {
			this.close();
		}

		return {end, reader, lastByteAt};
	}

	private _finish(isRegular: boolean): void {
		this._isEnded = true;
		this._onEnded?.(isRegular);
	}
}
