import {type Socket} from 'node:net';
import {errors} from 'undici';

/** Error code of a connection that the peer has reset. */
export const resetCode = 'ECONNRESET';

/** Bytes that the HTTP client takes from a connection at once. */
const maxReadBytes = 16 * 1024;

/** A connection that the peer has reset. */
class ConnectionResetError extends errors.SocketError {
	constructor(cause: Error) {
		super(cause.message);
		this.cause = cause;
	}
}

/** A reset of which Node.js reports only the end of the connection. */
class HiddenResetError extends Error {
	readonly code = resetCode;
}

/**
Makes a connection report its end to the HTTP client as what it is, and bounds what it keeps in memory while an answer is paused.

Node.js reports a reset as the regular end when it arrives together with data; the socket has no peer any more then. The client
takes a reset by its code for the regular end of an answer that ends with its connection, so it gets resets as
other errors. It fails an assertion, outside of any request, when a connection ends while an answer is paused, so the end
comes only after a read that finds no bytes. When an answer goes on, the client takes all bytes that have arrived and gives back
those that it cannot pass on; each time, the connection would read as many again.
*/
export function makeStrict(socket: Socket): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = (error?: Error) => destroy(isReset(error) ? new ConnectionResetError(error) : error);
	const emit = socket.emit.bind(socket);
	socket.emit = (event: string | symbol, ...args: unknown[]) => {
		if (event === 'end' && socket.remoteAddress === undefined) {
			socket.destroy(new HiddenResetError('the connection was reset after its last data'));
			return true;
		}

		return emit(event, ...args);
	};

	let hasEnded = false;
	const push = socket.push.bind(socket) as (...args: unknown[]) => boolean;
	socket.push = (...args: unknown[]) => {
		hasEnded ||= args[0] === null;
		return push(...args);
	};

	const read = socket.read.bind(socket) as (size?: number) => unknown;
	// A read without a size that takes the last byte also ends the stream. Without bytes, only one without a size asks for more.
	// Node.js itself reads 0 bytes when the end of the connection arrives, which would report it at once if all bytes were taken.
	socket.read = (size = Math.min(socket.readableLength, maxReadBytes) || undefined) => size === 0 && hasEnded ? null : read(size);
}

function isReset(error: Error | undefined): error is Error {
	return (error as {code?: string} | undefined)?.code === resetCode;
}
