import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../common/entry/refusal-error.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {readBody} from './read-body.js';
import {sha256} from './caller-headers.js';

/** Largest body in bytes that is buffered, so that it can be hashed and sent again in a retry. */
const maxBufferedBytes = 65_536;

/** Body of a forwarded request. A small body is buffered; a larger one is streamed and can be sent only once. */
export interface ForwardedBody {
	/** Whether the body can still be sent; false once a streamed body has been read. */
	readonly canSend: boolean;
	/** Hash of a buffered body; for a streamed body its length and content type instead. */
	readonly hash: string;
	/** Body to send in one attempt. */
	content(): Uint8Array | AsyncIterable<Uint8Array> | undefined;
}

/** Buffers or wraps the body of a request. @throws RefusalError when a buffered body is too long or ends early. */
export async function prepareBody(req: IncomingMessage, maxBytes: number): Promise<ForwardedBody> {
	const length = req.headers['content-length'];
	if (length === undefined && req.headers['transfer-encoding'] === undefined) {
		return {content: () => undefined, canSend: true, hash: ''};
	}

	if (length !== undefined && Number(length) <= maxBufferedBytes) {
		const text = await readBody(req, maxBufferedBytes, 'latin1');
		const content = Buffer.from(text, 'latin1');
		return {content: () => content, canSend: true, hash: sha256(text)};
	}

	return new StreamedBody(req, maxBytes, `${length ?? 'chunked'} ${req.headers['content-type'] ?? ''}`);
}

/** A body that is read only while it is sent to a backend server. */
class StreamedBody implements ForwardedBody {
	canSend = true;

	constructor(private readonly _req: IncomingMessage, private readonly _maxBytes: number, readonly hash: string) {}

	content(): AsyncIterable<Uint8Array> {
		return this._read();
	}

	private async * _read(): AsyncGenerator<Uint8Array> {
		this.canSend = false;
		let size = 0;
		// When the connection to the backend server is lost, the caller's connection must stay open for the refusal.
		for await (const chunk of this._req.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > this._maxBytes) {
				throw new RefusalError('body-too-large', `The body has more than ${this._maxBytes} bytes.`, {status: 413, ran: executionStatus.unknown});
			}

			yield chunk;
		}
	}
}
