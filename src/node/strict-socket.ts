import {type Socket} from 'node:net';
import {errors} from 'undici';

/** Error code of a connection that the peer has reset. */
export const resetCode = 'ECONNRESET';

/** A connection that the peer has reset. */
class ConnectionResetError extends errors.SocketError {
	constructor(cause: Error) {
		super(cause.message);
		this.cause = cause;
	}
}

/**
Makes a connection report its end to the HTTP client as what it is.

The client takes a reset by its code for the regular end of an answer that ends with its connection, so it gets resets as
other errors. It fails an assertion, outside of any request, when a connection ends while an answer is paused, so the end
comes only after a read that finds no bytes.
*/
export function reportEndsStrictly(socket: Socket): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = (error?: Error) => destroy(isReset(error) ? new ConnectionResetError(error) : error);
	const read = socket.read.bind(socket) as (size?: number) => unknown;
	// A read without a size that takes the last byte also ends the stream. One above the high water mark would raise the mark.
	socket.read = (size = Math.min(socket.readableLength, socket.readableHighWaterMark) || undefined) => read(size);
}

function isReset(error: Error | undefined): error is Error {
	return (error as {code?: string} | undefined)?.code === resetCode;
}
