/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {type ServerResponse} from 'node:http';
import {type Clock} from '../common/base/clock.js';
import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {type AnswerHead, type AnswerSink, type AnswerTail} from '../common/entry/answer-sink.js';
import {answerHeaders} from './answer-headers.js';
import {mergeDelta} from './merge-delta.js';

/** Sends an answer as one JSON object. */
export class JsonSink implements AnswerSink {
	private _head: AnswerHead | undefined;
	private _message: Record<string, unknown> = {role: 'assistant', content: null};
	private readonly _logprobs: unknown[] = [];

	constructor(private readonly _res: ServerResponse, private readonly _entry: string, private readonly _clock: Clock, private readonly _wantsLogprobs: boolean) {}

	start(head: AnswerHead): void {
		this._head = head;
	}

	write(chunk: AnswerChunk): undefined {
		this._message = mergeDelta(this._message, chunk.delta);
		const {content} = (chunk.logprobs ?? {}) as {content?: unknown[]};
		this._logprobs.push(...content ?? []);
	}

	end(tail: AnswerTail): void {
		const head = this._head!;
		const text = JSON.stringify({
			id: `chatcmpl-${head.requestId}`,
			object: 'chat.completion',
			created: Math.floor(this._clock.wallTime() / 1000),
			model: head.ref,
			choices: [{
				index: 0, message: {refusal: null, ...this._message}, finish_reason: tail.finishReason, logprobs: this._wantsLogprobs ? {content: this._logprobs} : null,
			}],
			usage: {prompt_tokens: tail.inputTokens, completion_tokens: tail.outputTokens, total_tokens: tail.inputTokens + tail.outputTokens},
		});
		this._res.writeHead(200, {
			...answerHeaders(head, this._entry),
			'catkinbeam-cost': String(tail.cost),
			'content-type': 'application/json',
			'content-length': String(new TextEncoder().encode(text).length),
		});
		this._res.end(text);
	}
}
