import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {type EngineAnswer, type EngineCall} from '../common/entry/engine-client.js';
import {EngineError} from '../common/entry/engine-error.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {type LoadReport} from '../common/routing/load-report.js';
import {EngineAnswerStream} from './engine-answer-stream.js';
import {engineHeaders} from './engine-protocol.js';

/** Longest refusal in bytes that is read. */
const maxRefusalBytes = 4096;

/** One HTTP exchange with an engine, as the events of its connection. */
export class EngineHttpExchange implements Dispatcher.DispatchHandler {
	/** Settles with the answer as soon as the engine has accepted the attempt. */
	readonly answer: Promise<EngineAnswer>;
	private _resolve!: (answer: EngineAnswer) => void;
	private _reject!: (error: Error) => void;
	private _controller: Dispatcher.DispatchController | undefined;
	private _stream: EngineAnswerStream | undefined;
	private _refusal: {status: number; said: string | undefined; bytes: Uint8Array[]; size: number} | undefined;
	private _isCancelled = false;
	private readonly _cancel: () => void;

	constructor(private readonly _call: EngineCall, private readonly _signal: AbortSignal) {
		this.answer = new Promise((resolve, reject) => {
			this._resolve = resolve;
			this._reject = reject;
		});
		this._cancel = () => {
			this._isCancelled = true;
			// Without a controller no byte was written, and none will be.
			this._end(new EngineError('cancelled', 'the attempt was cancelled', this._controller ? executionStatus.unknown : executionStatus.no));
			this._controller?.abort(new Error('cancelled'));
		};

		_signal.addEventListener('abort', this._cancel, {once: true});
	}

	/** Called immediately before the first byte is written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this._isCancelled) {
			controller.abort(new Error('cancelled'));
			return;
		}

		this._controller = controller;
	}

	onResponseStart(controller: Dispatcher.DispatchController, statusCode: number, headers: IncomingHttpHeaders): void {
		if (statusCode < 200) {
			return;
		}

		if (statusCode !== 200) {
			this._refusal = {
				status: statusCode, said: text(headers[engineHeaders.ran]), bytes: [], size: 0,
			};
			return;
		}

		if (headers[engineHeaders.attempt] !== this._call.attemptId) {
			this._end(new EngineError('attempt-mismatch', 'the answer belongs to another attempt', executionStatus.unknown));
			controller.abort(new Error('attempt mismatch'));
			return;
		}

		this._stream = new EngineAnswerStream(loadOf(headers), controller);
		this._resolve(this._stream);
	}

	onResponseData(controller: Dispatcher.DispatchController, bytes: Uint8Array): void {
		if (this._refusal) {
			if (this._refusal.size < maxRefusalBytes) {
				this._refusal.size += bytes.length;
				this._refusal.bytes.push(bytes);
			}

			return;
		}

		try {
			this._stream?.push(bytes);
		} catch (error) {
			this._end(new EngineError('broken', 'the answer is no valid stream', executionStatus.unknown, {cause: error}));
			controller.abort(new Error('invalid stream'));
		}
	}

	onResponseEnd(): void {
		if (this._stream?.isDone) {
			this._signal.removeEventListener('abort', this._cancel);
			return;
		}

		this._end(this._refusal ? refusalOf(this._refusal) : new EngineError('broken', 'the answer broke off', executionStatus.unknown));
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		const {address} = this._call.server;
		if (!this._controller) {
			this._end(new EngineError('unreachable', `no connection to ${address}`, executionStatus.no, {cause: error}));
		} else if (this._stream) {
			this._end(new EngineError('broken', 'the answer broke off', executionStatus.unknown, {cause: error}));
		} else {
			this._end(new EngineError('broken', `the connection to ${address} broke before an answer`, executionStatus.unknown, {cause: error}));
		}
	}

	/** Settles what is not settled yet. */
	private _end(error: EngineError): void {
		this._signal.removeEventListener('abort', this._cancel);
		if (this._stream) {
			this._stream.fail(error);
		} else {
			this._reject(error);
		}
	}
}

function text(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

function loadOf(headers: IncomingHttpHeaders): Omit<LoadReport, 'at'> | undefined {
	const load = text(headers[engineHeaders.load]);
	try {
		return load === undefined ? undefined : JSON.parse(load) as Omit<LoadReport, 'at'>;
	} catch {
		// A report that cannot be read must not cost the answer.
		return undefined;
	}
}

/** A refusal is known not to have run only when the engine says so, or when it turned the request away for its load. */
function refusalOf({status, said, bytes}: {status: number; said: string | undefined; bytes: Uint8Array[]}): EngineError {
	const isTurnedAway = said === executionStatus.no || (said === undefined && (status === 429 || status === 503));
	return isTurnedAway
		? new EngineError('refused', `the engine refused with status ${status}`, executionStatus.no)
		: new EngineError('engine-failed', `the engine failed with status ${status}: ${Buffer.concat(bytes).toString('utf8').slice(0, 200)}`, said === executionStatus.yes ? executionStatus.yes : executionStatus.unknown);
}
