import {createHash} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {type Bill} from '../common/ledger/ledger.js';
import {type EmbeddedSystem} from './embedded-system.js';

/** A complete HTTP response. */
export interface CallerReply {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
}

/** Fields of a refusal that tests check. */
export interface CallerRefusal {
	readonly code: string;
	readonly ran: string;
	readonly retryAfterSeconds?: number;
}

/** Headers and abort signal of a request. */
export interface CallerOptions {
	readonly headers?: Readonly<Record<string, string>>;
	readonly signal?: AbortSignal;
}

const pollMs = 10;
/** Number of polls after which `until` fails: 30 s. */
const maxPolls = 3000;

/** A customer's client of an embedded system, which can also submit documents and read bills. */
export class EmbeddedCaller {
	/** SHA-256 of the bearer key, for the service document. */
	readonly keySha256: string;
	private _changes = 0;

	constructor(private readonly _system: EmbeddedSystem, readonly key = 'embedded-key', private readonly _daemon = 0) {
		this.keySha256 = createHash('sha256').update(key).digest('hex');
	}

	/** Submits a service document with this customer and waits until it is in force. */
	async submit(document: Readonly<Record<string, unknown>>, operatorSecret?: string): Promise<void> {
		const headers = operatorSecret === undefined ? {} : {authorization: `Bearer ${operatorSecret}`};
		const control = `${this._system.controlUrl(this._daemon)}/operator/v1`;
		const body = JSON.stringify({customers: [{name: 'customer', keySha256: this.keySha256}], ...document});
		const res = await request(`${control}/documents?changeId=${this.key}-${this._changes++}`, {method: 'POST', headers, body});
		const {revision} = await res.body.json() as {revision?: number};
		if (revision === undefined) {
			throw new Error(`the document was not accepted: status ${res.statusCode}`);
		}

		await until(async () => {
			const reply = await request(`${control}/in-force?revision=${revision}`, {headers});
			const {inForce} = await reply.body.json() as {inForce?: boolean};
			return inForce === true;
		});
	}

	/** Sends a chat completion request and reads the complete response. */
	async chat(body: Readonly<Record<string, unknown>>, options: CallerOptions = {}): Promise<CallerReply> {
		return this.send('POST', '/v1/chat/completions', {...options, body: JSON.stringify({messages: [{role: 'user', content: 'Summarise the log.'}], ...body})});
	}

	/** Sends a request and reads the complete response. */
	async send(method: string, path: string, {headers, signal, body}: CallerOptions & {body?: string | Uint8Array | AsyncIterable<Uint8Array>} = {}): Promise<CallerReply> {
		const res = await request(`${this._system.callerUrl(this._daemon)}${path}`, {
			method: method as 'POST', signal, body: body as string, headers: {authorization: `Bearer ${this.key}`, ...headers},
		});
		return {status: res.statusCode, headers: res.headers, text: await res.body.text()};
	}

	/** Reads the latest bills, at most 1,000. */
	async bills(): Promise<Bill[]> {
		const res = await request(`${this._system.controlUrl(this._daemon)}/operator/v1/bills?limit=1000`);
		return await res.body.json() as Bill[];
	}

	/** Reads the bills of a request; waits until there is at least one. */
	async billsOf(requestId: string): Promise<Bill[]> {
		let found: Bill[] = [];
		await until(async () => {
			const bills = await this.bills();
			found = bills.filter(bill => bill.requestId === requestId);
			return found.length > 0;
		});
		return found;
	}
}

/** Parses the refusal in the body of a reply. */
export function refusalOf({text}: CallerReply): CallerRefusal {
	const {error} = JSON.parse(text) as {error: CallerRefusal};
	return error;
}

/** Waits until a condition holds. @throws Error when it does not hold within 30 s. */
export async function until(condition: () => Promise<boolean> | boolean): Promise<void> {
	for (let polls = 0; !await condition(); polls++) { // eslint-disable-line no-await-in-loop -- polls
		if (polls >= maxPolls) {
			throw new Error('the condition did not hold within 30 s');
		}

		await wait(pollMs); // eslint-disable-line no-await-in-loop -- polls
	}
}
