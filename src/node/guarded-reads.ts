import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {AnswerScanner} from './answer-scanner.js';
import {type ReadPacer} from './read-pacer.js';

const requestLine = /^(?<method>[A-Z]+) \S+ HTTP\/1\.1\r\n/v;

/**
Bounds what the answers on a connection cost the HTTP client: bytes besides their bodies are limited, small chunks wait for their
turn, and nothing is parsed after the connection was given up.
*/
export function guardReads(socket: Socket, pacer: ReadPacer): void {
	const scanner = new AnswerScanner();
	const turns = pacer.open(() => {
		if (!socket.destroyed) {
			socket.emit('readable');
		}
	});
	socket.once('close', () => {
		turns.dispose();
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

		const bytes = read(size);
		if (bytes === null) {
			return null;
		}

		const known = Math.min(returned, bytes.length);
		returned -= known;
		try {
			const followed = scanner.follow(bytes.subarray(known), turns.available);
			turns.take(followed.units);
			const end = known + followed.bytes;
			if (end < bytes.length) {
				unshift(bytes.subarray(end));
				turns.wait(`${socket.remoteAddress}:${socket.remotePort}`);
			}

			return end === 0 ? null : bytes.subarray(0, end);
		} catch (error) {
			socket.destroy(error as Error);
			return null;
		}
	};
}
