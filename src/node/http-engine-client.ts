/* eslint-disable @typescript-eslint/naming-convention -- field names of the public chat completion interface */
import {Agent} from 'undici';
import {type Disposable} from '../common/base/disposable.js';
import {type EngineAnswer, type EngineCall, type EngineClient} from '../common/entry/engine-client.js';
import {EngineHttpExchange} from './engine-http-exchange.js';
import {engineHeaders} from './engine-protocol.js';
import {timedConnector} from './timed-connector.js';

/** Connect timeout in milliseconds. */
const connectTimeoutMs = 2000;

/** Calls model engines through the HTTP chat completion interface. */
export class HttpEngineClient implements EngineClient, Disposable {
	private readonly _agent = new Agent({
		connect: timedConnector(connectTimeoutMs), pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	});

	async call(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer> {
		const exchange = new EngineHttpExchange(call, signal);
		this._agent.dispatch({
			origin: `http://${call.server.address}`,
			path: '/v1/chat/completions',
			method: 'POST',
			headers: headersOf(call),
			body: bodyOf(call),
		}, exchange);
		return exchange.answer;
	}

	dispose(): void {
		void this._agent.destroy();
	}
}

function headersOf(call: EngineCall): Record<string, string> {
	return {
		'content-type': 'application/json',
		[engineHeaders.attempt]: call.attemptId,
		[engineHeaders.revision]: String(call.revision),
		[engineHeaders.startWithinMs]: String(Math.floor(call.startWithinMs)),
		[engineHeaders.deadlineMs]: String(Math.floor(call.deadlineMs)),
	};
}

function bodyOf({body, ref, maxTokens, priority, resumeAfter}: EngineCall): string {
	return JSON.stringify({
		...body,
		model: ref,
		stream: true,
		stream_options: {include_usage: true},
		logprobs: true,
		max_tokens: maxTokens,
		priority,
		...(resumeAfter && {continue_after: resumeAfter}),
	});
}
