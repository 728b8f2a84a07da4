import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Bytes that are written at once. */
const writtenAtOnce = 64 * 1024;
/** Time in milliseconds within which the receiver has read what was written. */
const settleMs = 200;

/** Writes bytes as HTTP chunks of the given size, without the last chunk. Resolves when they were sent. */
export async function writePieces(socket: Socket, bytes: Uint8Array, pieceBytes: number): Promise<void> {
	let text: Uint8Array[] = [];
	let length = 0;
	for (let at = 0; at < bytes.length; at += pieceBytes) {
		const piece = bytes.subarray(at, at + pieceBytes);
		text.push(Buffer.from(`${piece.length.toString(16)}\r\n`), Buffer.from(piece), Buffer.from('\r\n'));
		length += piece.length + 8;
		if (length >= writtenAtOnce || at + pieceBytes >= bytes.length) {
			const written = Buffer.concat(text);
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await new Promise<void>(resolve => {
				socket.write(written, () => {
					resolve();
				});
			});
			text = [];
			length = 0;
		}
	}

	await delay(settleMs);
}
