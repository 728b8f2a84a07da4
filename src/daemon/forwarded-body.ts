import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../common/entry/refusal-error.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {readBody} from './read-body.js';
import {sha256} from './caller-headers.js';

/** Largest body in bytes that is kept in memory, so that it can be sent again and hashed. */
const maxKeptBytes = 65_536;

/** Body of a forwarded request: kept in memory when small, otherwise streamed once. */
export interface ForwardedBody {
	/** Whether the body can be sent, again after it was sent before. */
	readonly isUsable: boolean;
	/** Hash of a kept body; length and type stand for a streamed one. */
	readonly hash: string;
	/** Content for one attempt. */
	content(): Uint8Array | AsyncIterable<Uint8Array> | undefined;
}

/** Takes the body of a request. @throws RefusalError when the body is longer than its length header says. */
export async function takeBody(req: IncomingMessage, maxBytes: number): Promise<ForwardedBody> {
	const length = req.headers['content-length'];
	if (length === undefined && req.headers['transfer-encoding'] === undefined) {
		return {content: () => undefined, isUsable: true, hash: ''};
	}

	if (length !== undefined && Number(length) <= maxKeptBytes) {
		const text = await readBody(req, maxKeptBytes, 'latin1');
		const content = Buffer.from(text, 'latin1');
		return {content: () => content, isUsable: true, hash: sha256(text)};
	}

	return new StreamedBody(req, maxBytes, `${length ?? 'chunked'} ${req.headers['content-type'] ?? ''}`);
}

/** A body that is read only once a connection to a backend server takes it. */
class StreamedBody implements ForwardedBody {
	isUsable = true;

	constructor(private readonly _req: IncomingMessage, private readonly _maxBytes: number, readonly hash: string) {}

	content(): AsyncIterable<Uint8Array> {
		return this._read();
	}

	private async * _read(): AsyncGenerator<Uint8Array> {
		this.isUsable = false;
		let size = 0;
		// A lost backend server must not end the connection to the caller, which waits for its refusal.
		for await (const part of this._req.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			size += part.length;
			if (size > this._maxBytes) {
				throw new RefusalError('body-too-large', `The body has more than ${this._maxBytes} bytes.`, {status: 413, ran: executionStatus.unknown});
			}

			yield part;
		}
	}
}
