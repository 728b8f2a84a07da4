import {Buffer} from 'node:buffer';
import {ByteBuffer} from '../common/base/byte-buffer.js';

const lineFeed = 10;
/** Maximum length of an event in bytes; a longer one means a broken stream and must not fill the memory. */
const maxEventBytes = 4 * 1024 * 1024;

/** Splits a byte stream into the data of its server-sent events. Its work and memory follow the bytes, and not the pieces in which they arrive. */
export class SseParser {
	private readonly _partialLine = new ByteBuffer();

	/**
	Parses the next bytes. @returns the data of the events that are now complete.

	@throws RangeError when an event exceeds 4 MiB.
	*/
	push(bytes: Uint8Array): string[] {
		const found: string[] = [];
		let from = 0;
		for (let end = bytes.indexOf(lineFeed); end !== -1; end = bytes.indexOf(lineFeed, from)) {
			this._partialLine.push(bytes.subarray(from, end));
			from = end + 1;
			const taken = this._partialLine.take();
			const line = Buffer.from(taken.buffer, taken.byteOffset, taken.length).toString('utf8');
			if (line.startsWith('data:')) {
				found.push(line.slice(5).trim());
			}
		}

		this._partialLine.push(bytes.subarray(from));
		if (this._partialLine.length > maxEventBytes) {
			throw new RangeError('a server-sent event exceeds 4 MiB');
		}

		return found;
	}
}
