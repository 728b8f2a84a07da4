import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../common/entry/refusal-error.js';

/**
Reads a body as text. Listens to events, because an async iterator costs more than parsing the rest of a short request.

@throws RefusalError when the body has more than `maxBytes`, and leaves the rest of it unread; or when it ends early.
*/
export async function readBody(req: IncomingMessage, maxBytes: number, encoding: BufferEncoding = 'utf8'): Promise<string> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		const removeListeners = () => {
			req.off('data', onData);
			req.off('end', onEnd);
			req.off('close', onAbort);
			req.off('error', onAbort);
		};

		const onData = (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				removeListeners();
				reject(new RefusalError('body-too-large', `The body has more than ${maxBytes} bytes.`, {status: 413}));
				return;
			}

			chunks.push(chunk);
		};

		const onEnd = () => {
			removeListeners();
			resolve((chunks.length === 1 ? Buffer.from(chunks[0]!.buffer, chunks[0]!.byteOffset, size) : Buffer.concat(chunks)).toString(encoding));
		};

		const onAbort = () => {
			removeListeners();
			reject(new RefusalError('body-broken', 'The body ended early.', {status: 400}));
		};

		req.on('data', onData);
		req.on('end', onEnd);
		req.on('close', onAbort);
		req.on('error', onAbort);
	});
}
