import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {ByteBuffer} from '../common/base/byte-buffer.js';
import {RefusalError} from '../common/entry/refusal-error.js';

/**
Reads a body as text. Listens to events, because an async iterator costs more than parsing the rest of a short request.

@throws RefusalError when the body has more than `maxBytes`, and leaves the rest of it unread; or when it ends early.
*/
export async function readBody(req: IncomingMessage, maxBytes: number, encoding: BufferEncoding = 'utf8'): Promise<string> {
	const tooLarge = () => new RefusalError('body-too-large', `The body has more than ${maxBytes} bytes.`, {status: 413});
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		throw tooLarge();
	}

	return new Promise((resolve, reject) => {
		const body = new ByteBuffer();
		const removeListeners = () => {
			req.off('data', onData);
			req.off('end', onEnd);
			req.off('close', onAbort);
			req.off('error', onAbort);
		};

		const onData = (chunk: Uint8Array) => {
			if (body.length + chunk.length > maxBytes) {
				removeListeners();
				reject(tooLarge());
				return;
			}

			body.push(chunk);
		};

		const onEnd = () => {
			removeListeners();
			const bytes = body.take();
			resolve(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString(encoding));
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
