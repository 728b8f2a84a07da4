/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {type Bill} from '../common/ledger/ledger.js';
import {sseData} from '../node/sse-lines.js';

/** The answer to a request, with its bill. */
export interface BilledAnswer {
	readonly requestId: string;
	readonly session: string | undefined;
	readonly text: string;
	readonly version: string;
	readonly attempts: number;
	readonly cost: number;
	readonly firstTokenMs: number;
	readonly totalMs: number;
	readonly bills: number;
	readonly outcome: string;
	readonly billedCost: number;
}

const pollMs = 50;

type Chunk = {choices: Array<{delta: {content?: string}}>; catkinbeam?: {cost: number}};

/** Client that sends streaming requests and looks up their bills. */
export class QuickstartCaller {
	constructor(private readonly _callerUrl: string, private readonly _controlUrl: string, private readonly _key: string) {}

	/** Submits a document and waits until it is in force. @throws Error when it is not accepted. */
	async submit(document: string): Promise<void> {
		const res = await request(`${this._controlUrl}/operator/v1/documents?changeId=quickstart`, {method: 'POST', body: document});
		const body = await res.body.json() as {revision: number};
		if (res.statusCode !== 200) {
			throw new Error(`the document was not accepted: ${JSON.stringify(body)}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polls until the document is in force
		while (!await this._isInForce(body.revision)) {
			// eslint-disable-next-line no-await-in-loop -- pause between polls
			await wait(pollMs);
		}
	}

	/** Sends a streaming request and looks up its bill. @throws Error when the answer is incomplete. */
	async ask(prompt: string, session?: string): Promise<BilledAnswer> {
		const answer = await this.send(prompt, session);
		const bills = await this._bills(answer.requestId);
		return {
			...answer, attempts: bills[0]?.attempts.length ?? 0, bills: bills.length, outcome: bills[0]?.outcome ?? 'none', billedCost: bills[0]?.cost ?? Number.NaN,
		};
	}

	/** Sends a streaming request. @throws Error when the answer is incomplete. */
	async send(prompt: string, session?: string): Promise<Omit<BilledAnswer, 'attempts' | 'bills' | 'outcome' | 'billedCost'>> {
		const startedAt = performance.now();
		const res = await request(`${this._callerUrl}/v1/chat/completions`, {
			method: 'POST',
			headers: {
				authorization: `Bearer ${this._key}`, 'content-type': 'application/json', ...(session !== undefined && {'catkinbeam-session': session}),
			},

			body: JSON.stringify({
				model: 'summaries', stream: true, stream_options: {include_usage: true}, messages: [{role: 'user', content: prompt}],
			}),
		});
		if (res.statusCode !== 200) {
			throw new Error(`status ${res.statusCode}: ${await res.body.text()}`);
		}

		let firstTokenMs = 0;
		let text = '';
		let cost = Number.NaN;
		let isDone = false;
		for await (const data of sseData(res.body)) {
			if (data === '[DONE]') {
				isDone = true;
				continue;
			}

			const chunk = JSON.parse(data) as Chunk;
			const content = chunk.choices[0]?.delta.content ?? '';
			firstTokenMs = text === '' && content !== '' ? performance.now() - startedAt : firstTokenMs;
			text += content;
			cost = chunk.catkinbeam?.cost ?? cost;
		}

		if (!isDone) {
			throw new Error('the stream ended without [DONE]');
		}

		const totalMs = performance.now() - startedAt;
		const requestId = String(res.headers['catkinbeam-request-id']);
		return {
			requestId, session, text, version: String(res.headers['catkinbeam-version']), cost, firstTokenMs, totalMs,
		};
	}

	private async _isInForce(revision: number): Promise<boolean> {
		const res = await request(`${this._controlUrl}/operator/v1/in-force?revision=${revision}`);
		const {inForce} = await res.body.json() as {inForce?: boolean};
		return inForce === true;
	}

	private async _bills(requestId: string): Promise<Bill[]> {
		const res = await request(`${this._controlUrl}/operator/v1/bills?limit=1000`);
		const bills = await res.body.json() as Bill[];
		return bills.filter(bill => bill.requestId === requestId);
	}
}
