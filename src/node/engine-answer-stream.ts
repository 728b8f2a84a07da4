import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {type EngineAnswer, type EngineUsage} from '../common/entry/engine-client.js';
import {type LoadReport} from '../common/routing/load-report.js';
import {answerChunk} from './engine-chunk.js';
import {type EngineChunk} from './engine-protocol.js';
import {SseParser} from './sse-parser.js';

/** Numbers of queued chunks at which the engine's stream is paused and resumed. */
const highWaterMark = 64;
const lowWaterMark = 16;

/** Flow control of the connection to the engine. */
export interface EngineFlow {
	pause(): void;
	resume(): void;
}

/** Queue between the connection to an engine, which pushes bytes, and the reader of the answer's chunks. */
export class EngineAnswerStream implements EngineAnswer, AsyncIterator<AnswerChunk> {
	usage: EngineUsage | undefined;
	private readonly _parser = new SseParser();
	private readonly _queue: AnswerChunk[] = [];
	private _pendingRead: {resolve: (result: IteratorResult<AnswerChunk>) => void; reject: (error: Error) => void} | undefined;
	private _isDone = false;
	private _isPaused = false;
	private _error: Error | undefined;

	constructor(readonly load: Omit<LoadReport, 'at'> | undefined, private readonly _flow: EngineFlow) {}

	get chunks(): AsyncIterable<AnswerChunk> {
		return {[Symbol.asyncIterator]: () => this};
	}

	/** Whether the engine has sent the end mark `[DONE]`. */
	get isDone(): boolean {
		return this._isDone;
	}

	// eslint-disable-next-line @typescript-eslint/promise-function-async -- an async wrapper costs three more microtask turns for each chunk
	next(): Promise<IteratorResult<AnswerChunk>> {
		const chunk = this._queue.shift();
		if (chunk) {
			if (this._isPaused && this._queue.length <= lowWaterMark) {
				this._isPaused = false;
				this._flow.resume();
			}

			return Promise.resolve({done: false, value: chunk});
		}

		if (this._error) {
			return Promise.reject(this._error);
		}

		if (this._isDone) {
			return Promise.resolve({done: true, value: undefined});
		}

		return new Promise((resolve, reject) => {
			this._pendingRead = {resolve, reject};
		});
	}

	/** Decodes bytes from the connection. @throws SyntaxError or RangeError when they are not a valid stream. */
	push(bytes: Uint8Array): void {
		for (const data of this._parser.push(bytes)) {
			if (data === '[DONE]') {
				this._isDone = true;
				this._settlePendingRead();
			} else if (!this._isDone) {
				this._addChunk(JSON.parse(data) as EngineChunk);
			}
		}
	}

	/** Ends the answer with an error, after the chunks that are already queued. */
	fail(error: Error): void {
		if (!this._isDone && !this._error) {
			this._error = error;
			this._settlePendingRead();
		}
	}

	private _addChunk(chunk: EngineChunk): void {
		if (chunk.usage) {
			this.usage = {inputTokens: chunk.usage.prompt_tokens, outputTokens: chunk.usage.completion_tokens};
		}

		const value = answerChunk(chunk);
		if (!value) {
			return;
		}

		if (this._pendingRead) {
			this._pendingRead.resolve({done: false, value});
			this._pendingRead = undefined;
			return;
		}

		this._queue.push(value);
		if (this._queue.length >= highWaterMark && !this._isPaused) {
			this._isPaused = true;
			this._flow.pause();
		}
	}

	private _settlePendingRead(): void {
		if (this._error) {
			this._pendingRead?.reject(this._error);
		} else {
			this._pendingRead?.resolve({done: true, value: undefined});
		}

		this._pendingRead = undefined;
	}
}
