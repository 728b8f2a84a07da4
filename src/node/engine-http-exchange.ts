import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {ByteBuffer} from '../common/base/byte-buffer.js';
import {type EngineAnswer, type EngineCall} from '../common/entry/engine-client.js';
import {EngineError} from '../common/entry/engine-error.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {type LoadReport} from '../common/routing/load-report.js';
import {EngineAnswerStream} from './engine-answer-stream.js';
import {engineHeaders} from './engine-protocol.js';

/** Size in bytes up to which the body of a refusal is kept. */
const maxRefusalBytes = 4096;

/** One HTTP exchange with an engine, driven by the events of the HTTP client. */
export class EngineHttpExchange implements Dispatcher.DispatchHandler {
	/** Resolves when the engine has accepted the attempt; rejects when the attempt fails before that. */
	readonly answer: Promise<EngineAnswer>;
	private _resolve!: (answer: EngineAnswer) => void;
	private _reject!: (error: Error) => void;
	private _controller: Dispatcher.DispatchController | undefined;
	private _stream: EngineAnswerStream | undefined;
	private _refusal: {status: number; ranHeader: string | undefined; body: ByteBuffer} | undefined;
	private _isCancelled = false;
	private readonly _cancel: () => void;

	constructor(private readonly _call: EngineCall, private readonly _signal: AbortSignal) {
		this.answer = new Promise((resolve, reject) => {
			this._resolve = resolve;
			this._reject = reject;
		});
		this._cancel = () => {
			this._isCancelled = true;
			// Without a controller no byte has been written, and none will be.
			this._fail(new EngineError('cancelled', 'the attempt was cancelled', this._controller ? executionStatus.unknown : executionStatus.no));
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

		if (!this._call.mayStart()) {
			this._fail(new EngineError('zone-evacuated', 'the zone of the engine is under evacuation', executionStatus.no));
			controller.abort(new Error('zone evacuated'));
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
				status: statusCode, ranHeader: singleValue(headers[engineHeaders.ran]), body: new ByteBuffer(),
			};
			return;
		}

		if (headers[engineHeaders.attempt] !== this._call.attemptId) {
			this._fail(new EngineError('attempt-mismatch', 'the answer belongs to another attempt', executionStatus.unknown));
			controller.abort(new Error('attempt mismatch'));
			return;
		}

		this._stream = new EngineAnswerStream(parseLoad(headers), controller);
		this._resolve(this._stream);
	}

	onResponseData(controller: Dispatcher.DispatchController, bytes: Uint8Array): void {
		if (this._refusal) {
			this._refusal.body.push(bytes.subarray(0, maxRefusalBytes - this._refusal.body.length));

			return;
		}

		try {
			this._stream?.push(bytes);
		} catch (error) {
			this._fail(new EngineError('broken', 'the answer is no valid stream', executionStatus.unknown, {cause: error}));
			controller.abort(new Error('invalid stream'));
		}
	}

	onResponseEnd(): void {
		if (this._stream?.isDone) {
			this._signal.removeEventListener('abort', this._cancel);
			return;
		}

		this._fail(this._refusal ? refusalError(this._refusal) : new EngineError('broken', 'the answer broke off', executionStatus.unknown));
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		const {address} = this._call.server;
		if (!this._controller) {
			this._fail(new EngineError('unreachable', `no connection to ${address}`, executionStatus.no, {cause: error}));
		} else if (this._stream) {
			this._fail(new EngineError('broken', 'the answer broke off', executionStatus.unknown, {cause: error}));
		} else {
			this._fail(new EngineError('broken', `the connection to ${address} broke before an answer`, executionStatus.unknown, {cause: error}));
		}
	}

	/** Fails the stream, or the answer if there is no stream yet. */
	private _fail(error: EngineError): void {
		this._signal.removeEventListener('abort', this._cancel);
		if (this._stream) {
			this._stream.fail(error);
		} else {
			this._reject(error);
		}
	}
}

function singleValue(value: string | string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

function parseLoad(headers: IncomingHttpHeaders): Omit<LoadReport, 'at'> | undefined {
	const load = singleValue(headers[engineHeaders.load]);
	try {
		return load === undefined ? undefined : JSON.parse(load) as Omit<LoadReport, 'at'>;
	} catch {
		// An unreadable load report must not fail the answer.
		return undefined;
	}
}

/** A refused request certainly did not run if the engine says so, or if it refuses with 429 or 503 (overload) without saying whether it ran. */
function refusalError({status, ranHeader, body}: {status: number; ranHeader: string | undefined; body: ByteBuffer}): EngineError {
	const isNotRun = ranHeader === executionStatus.no || (ranHeader === undefined && (status === 429 || status === 503));
	return isNotRun
		? new EngineError('refused', `the engine refused with status ${status}`, executionStatus.no)
		: new EngineError('engine-failed', `the engine failed with status ${status}: ${Buffer.from(body.take()).toString('utf8').slice(0, 200)}`, ranHeader === executionStatus.yes ? executionStatus.yes : executionStatus.unknown);
}
