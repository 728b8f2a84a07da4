import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type HeldPart} from '../common/base/held-bytes.js';
import {AnswerScanner} from './answer-scanner.js';
import {type ReadPacer} from './read-pacer.js';

const requestLine = /^(?<method>\S+) \S+ HTTP\/1\.1\r\n/v;

/**
Bounds what the answers on a connection cost the HTTP client: bytes besides their bodies are limited, small chunks wait for their
turn, and nothing is parsed after the connection was given up. `address` is that of the peer; the socket caches its own record of it,
whose absence tells a reset from an end.

@param held counts the memory for heads and trailers.
*/
export function guardReads(socket: Socket, pacer: ReadPacer, address: string, held?: HeldPart): void {
	const scanner = new AnswerScanner();
	const turns = pacer.open(address, () => {
		if (!socket.destroyed) {
			socket.emit('readable');
		}
	});
	socket.once('close', () => {
		turns.dispose();
		held?.dispose();
	});

	const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
	socket.write = (...args: unknown[]) => {
		// The HTTP client writes the head of a request as a string of its own.
		const method = typeof args[0] === 'string' ? requestLine.exec(args[0])?.groups?.method : undefined;
		if (method !== undefined) {
			scanner.begin(method);
		}

		return write(...args);
	};

	const unshift = socket.unshift.bind(socket);
	/** Bytes that the HTTP client has given back; their framing is known. */
	let returned = 0;
	socket.unshift = (bytes: Uint8Array) => {
		returned += bytes.length;
		unshift(bytes);
	};

	const read = socket.read.bind(socket) as (size?: number) => Buffer | null; // eslint-disable-line @typescript-eslint/no-restricted-types -- as Node.js declares it
	socket.read = (size?: number) => {
		if (size === 0) {
			// The stream itself asks for more bytes.
			return read(0);
		}

		if (socket.destroyed || turns.isWaiting) {
			return null;
		}

		const maxBytes = returned + turns.maxBytes;
		const isLate = socket.readableLength > maxBytes;
		// Without the size, the stream would read ahead.
		const bytes = read(isLate ? maxBytes : size);
		if (bytes === null) {
			return null;
		}

		if (isLate) {
			turns.yieldLoop();
		}

		const known = Math.min(returned, bytes.length);
		returned -= known;
		try {
			const followed = scanner.follow(bytes.subarray(known), turns.available);
			turns.take(followed.units);
			held?.set(scanner.memory);
			if (socket.destroyed) {
				// The part was given up.
				return null;
			}

			const end = known + followed.bytes;
			if (end < bytes.length) {
				unshift(bytes.subarray(end));
				if (!scanner.hasEnded) {
					turns.wait();
				}
			}

			return end === 0 ? null : bytes.subarray(0, end);
		} catch (error) {
			socket.destroy(error as Error);
			return null;
		}
	};
}
