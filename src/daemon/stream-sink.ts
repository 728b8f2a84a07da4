/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {type ServerResponse} from 'node:http';
import {type Clock} from '../common/base/clock.js';
import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {type AnswerHead, type AnswerSink, type AnswerTail} from '../common/entry/answer-sink.js';
import {type RefusalError} from '../common/entry/refusal-error.js';
import {answerHeaders} from './answer-headers.js';
import {refusalBody} from './http-error.js';
import {untilWritable} from './until-writable.js';

/** Optional parts of the stream that the caller asked for. */
export interface StreamOptions {
	readonly includeUsage: boolean;
	readonly includeLogprobs: boolean;
}

/** Streams an answer as server-sent events. */
export class StreamSink implements AnswerSink {
	private _head: AnswerHead | undefined;
	private readonly _created: number;

	constructor(private readonly _res: ServerResponse, private readonly _entry: string, clock: Clock, private readonly _options: StreamOptions) {
		this._created = Math.floor(clock.wallTime() / 1000);
	}

	get isStarted(): boolean {
		return this._head !== undefined;
	}

	start(head: AnswerHead): void {
		this._head = head;
		this._res.writeHead(200, {
			...answerHeaders(head, this._entry),
			'content-type': 'text/event-stream',
			'cache-control': 'no-cache',
		});
	}

	write(chunk: AnswerChunk): Promise<void> | undefined {
		const canWriteMore = this._send([{
			index: 0,
			delta: chunk.delta,
			finish_reason: chunk.finishReason ?? null,
			...(this._options.includeLogprobs && {logprobs: chunk.logprobs ?? null}),
		}]);
		return canWriteMore ? undefined : untilWritable(this._res);
	}

	end(tail: AnswerTail): void {
		if (this._options.includeUsage) {
			this._send([], {
				usage: {prompt_tokens: tail.inputTokens, completion_tokens: tail.outputTokens, total_tokens: tail.inputTokens + tail.outputTokens},
				catkinbeam: {cost: tail.cost},
			});
		}

		this._res.end('data: [DONE]\n\n');
	}

	/** Ends a started stream with an error. */
	fail(err: RefusalError): void {
		this._res.end(`data: ${JSON.stringify(refusalBody(err))}\n\n`);
	}

	private _send(choices: unknown[], extra: Record<string, unknown> = {}): boolean {
		const head = this._head!;
		return this._res.write(`data: ${JSON.stringify({
			id: `chatcmpl-${head.requestId}`, object: 'chat.completion.chunk', created: this._created, model: head.ref, choices, ...extra,
		})}\n\n`);
	}
}
