/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {performance} from 'node:perf_hooks';
import {Agent, type Dispatcher} from 'undici';

/** Outcome of one request. */
export interface Sample {
	readonly firstTokenMs: number;
	readonly isComplete: boolean;
	/** HTTP status; 0 without a response. */
	readonly status: number;
	/** Request id that the daemon assigned, or attempt id that the load generator assigned. */
	readonly id: string;
}

/** Target of the load: the daemon, or the engine directly. */
export class LoadTarget {
	private readonly _agent = new Agent({
		pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 60_000,
	});

	private _nextIndex = 0;

	constructor(private readonly _address: string, private readonly _model: string, private readonly _key: string | undefined) {}

	/** Sends a streamed request and measures the time to the first byte of its first token. */
	async send(): Promise<Sample> {
		const index = this._nextIndex++;
		const attempt = `direct.${index}`;
		const body = JSON.stringify({
			model: this._model, stream: true, max_tokens: 1000, messages: [{role: 'user', content: `Summarise the cooling log ${index % 50}.`}],
		});
		const headers = {
			'content-type': 'application/json', ...(this._key === undefined ? {'catkinbeam-attempt': attempt} : {authorization: `Bearer ${this._key}`}),
		};
		return new Promise(resolve => {
			const startedAt = performance.now();
			let firstTokenMs = Number.NaN;
			let tail = '';
			let id = attempt;
			let status = 0;
			const finish = () => {
				resolve({
					firstTokenMs, isComplete: tail.endsWith('data: [DONE]\n\n'), status, id,
				});
			};

			const handler: Dispatcher.DispatchHandler = {
				// The type of the handler requires this method.
				onRequestStart: () => undefined,
				onResponseStart(_controller, statusCode, received) {
					status = statusCode;
					id = String(received['catkinbeam-request-id'] ?? attempt);
				},
				onResponseData(_controller, chunk) {
					if (Number.isNaN(firstTokenMs)) {
						firstTokenMs = performance.now() - startedAt;
					}

					tail = chunk.toString('latin1', Math.max(0, chunk.length - 14));
				},
				onResponseEnd: finish,
				onResponseError: finish,
			};
			this._agent.dispatch({
				origin: `http://${this._address}`, path: '/v1/chat/completions', method: 'POST', headers, body,
			}, handler);
		});
	}

	async close(): Promise<void> {
		await this._agent.destroy();
	}
}
