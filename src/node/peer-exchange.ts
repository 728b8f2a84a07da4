import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {ByteBuffer} from '../common/base/byte-buffer.js';
import {PeerTimeoutError, PeerUnreachableError} from '../common/base/peer-errors.js';
import {isConnectError} from './connect-error.js';

/** One HTTP exchange with a peer. Its timeout also covers the time in which the connection is established. */
export class PeerExchange implements Dispatcher.DispatchHandler {
	/**
	Resolves with the body of the response.

	Rejects with PeerUnreachableError when no byte of the request was written or the peer refused it, and with PeerTimeoutError
	when the call may have been executed.
	*/
	readonly body: Promise<string>;
	private _resolve!: (body: string) => void;
	private _reject!: (error: Error) => void;
	private _controller: Dispatcher.DispatchController | undefined;
	private _status = 0;
	private readonly _reply = new ByteBuffer();
	private readonly _timer: NodeJS.Timeout;
	private _isFinished = false;

	constructor(private readonly _peer: string, private readonly _timeoutMs: number) {
		this.body = new Promise((resolve, reject) => {
			this._resolve = resolve;
			this._reject = reject;
		});
		this._timer = setTimeout(() => {
			this._fail(new Error('timeout'));
			this._controller?.abort(new Error('the call timed out'));
		}, Math.ceil(_timeoutMs));
	}

	/** Called immediately before the first byte is written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this._isFinished) {
			// An error at this point drops the request and keeps the connection, on which nothing was written.
			throw new Error('the call timed out');
		}

		this._controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this._status = status;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this._reply.push(chunk);
	}

	onResponseEnd(): void {
		this._finish();
		if (this._status === 200) {
			const bytes = this._reply.take();
			this._resolve(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8'));
		} else {
			this._reject(new PeerUnreachableError(`${this._peer} refused the call with status ${this._status}`));
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this._fail(error);
	}

	private _fail(cause: Error): void {
		if (this._isFinished) {
			return;
		}

		this._finish();
		this._reject(this._controller === undefined || isConnectError(cause)
			? new PeerUnreachableError(`no connection to ${this._peer} within ${this._timeoutMs} ms`, {cause})
			: new PeerTimeoutError(`no reply from ${this._peer} within ${this._timeoutMs} ms`, {cause}));
	}

	private _finish(): void {
		this._isFinished = true;
		clearTimeout(this._timer);
	}
}
