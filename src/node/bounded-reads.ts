import {type Socket} from 'node:net';

/** Bytes that the HTTP client takes from a connection at once. */
const maxReadBytes = 16 * 1024;

/**
Bounds what a connection of the HTTP client keeps in memory while its answer is paused. The client takes all bytes that have arrived,
gives back those that it cannot pass on, and so makes the connection read as many again, each time that an answer goes on.
*/
export function boundReads(socket: Socket): void {
	const read = socket.read.bind(socket);
	// Without a size, a read of 0 bytes would not ask for more.
	socket.read = size => read(size ?? (Math.min(socket.readableLength, maxReadBytes) || undefined)) as unknown;
}
