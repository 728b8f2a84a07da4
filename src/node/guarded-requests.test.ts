import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, expect, it, vi,
} from 'vitest';
import {HeldBytes, type HeldPart} from '../common/base/held-bytes.js';
import {RequestGuard} from './guarded-requests.js';
import {SystemClock} from './system-clock.js';

const opened: Array<() => void> = [];
afterEach(() => {
	for (const close of opened.splice(0)) {
		close();
	}
});

async function start(handle: (req: IncomingMessage, res: ServerResponse) => void, hold?: (socket: Socket) => HeldPart) {
	const server = createServer(handle);
	const guard = new RequestGuard(server, new SystemClock(), hold);
	const errors: Error[] = [];
	server.on('clientError', error => {
		errors.push(error);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	opened.push(() => {
		guard.dispose();
		server.close();
		server.closeAllConnections();
	});
	return {server, errors, port: (server.address() as AddressInfo).port};
}

function connectTo(port: number): {readonly socket: Socket; readonly text: () => string} {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		received += String(bytes);
	});
	opened.push(() => {
		socket.destroy();
	});
	return {socket, text: () => received};
}

const chunkedHead = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const count = 3000;

/** Requests that are slowed down, each with the bodies that the server must get. */
const slowedRequests = {
	'chunks of one byte': {bytes: `${chunkedHead}${'1\r\nx\r\n'.repeat(count)}0\r\n\r\n`, bodies: ['x'.repeat(count)]},
	'requests that arrive together': {bytes: 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(100), bodies: Array.from({length: 100}, () => '')},
	'both, with an end of the connection': {
		bytes: `${chunkedHead}${'1\r\ny\r\n'.repeat(count)}0\r\n\r\n${'GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(20)}`,
		bodies: ['y'.repeat(count), ...Array.from({length: 20}, () => '')],
	},
} as const;

// Guards against bytes that are lost, reordered or never read because they had to wait, also while the server pauses the connection.
it.each(Object.entries(slowedRequests))('hands over all of %s', async (name, {bytes, bodies}) => {
	const received: string[] = [];
	let complete = 0;
	const {port} = await start((req, res) => {
		const index = received.push('') - 1;
		req.on('data', (chunk: Uint8Array) => {
			received[index] += String(chunk);
			req.pause();
			setImmediate(() => {
				req.resume();
			});
		});
		req.on('end', () => {
			complete++;
			res.end('ok');
		});
	});
	const {socket, text} = connectTo(port);
	socket.write(bytes);
	const isEnded = name.endsWith('end of the connection');
	if (isEnded) {
		socket.end();
	}

	await expect.poll(() => complete, {timeout: 10_000}).toBe(bodies.length);
	expect(received).toEqual(bodies);
	// The server sends no answers after the end of a connection.
	await expect.poll(() => isEnded ? bodies.length : text().split('HTTP/1.1 200 OK').length - 1).toBe(bodies.length);
});

// Guards against a connection that is read on although its caller reads no answers, or although the bytes on it are no request.
it.each([
	{
		name: 'answers are not read', isReading: false, beginning: '', repeated: 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(500), errors: 0,
	},
	{
		name: 'its bytes are no request', isReading: true, beginning: '', repeated: '\0'.repeat(16_384), errors: 1,
	},
	{
		name: 'it has exceeded a limit', isReading: true, beginning: 'GET / HTTP/1.1\r\n', repeated: 'a:\r\n'.repeat(4000), errors: 1,
	},
])('does not read on when $name', async ({isReading, beginning, repeated, errors: expected}) => {
	const {server, port, errors} = await start((_req, res) => {
		res.end('x'.repeat(100_000));
	});
	const connection = once(server, 'connection');
	const {socket} = connectTo(port);
	if (!isReading) {
		socket.pause();
	}

	const [accepted] = await connection as [Socket];
	socket.write(beginning);
	for (let sent = 0; sent < 500; sent++) {
		socket.write(repeated);
	}

	await delay(500);
	const read = accepted.bytesRead;
	await delay(200);
	expect(accepted.bytesRead).toBe(read);
	expect(read).toBeLessThan(256 * 1024);
	expect(errors).toHaveLength(expected);
});

const openHead = `GET / HTTP/1.1\r\nhost: h\r\nx-a: ${'b'.repeat(1000)}`;
const openBody = `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5000\r\n\r\n${'b'.repeat(1000)}`;
const whole = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

// Guards against heads that hold memory which nothing counts, and against bodies and idle connections that count as heads.
it.each([
	{name: 'a head that is not complete', writes: [openHead], isCounted: true},
	{name: 'a head that is complete', writes: [openHead, '\r\n\r\n'], isCounted: false},
	{name: 'a body', writes: [openBody, 'b'.repeat(1000)], isCounted: false},
	{name: 'an idle connection', writes: [openBody, 'b'.repeat(4000)], isCounted: false},
	{name: 'the head of a second request', writes: [whole, openHead], isCounted: true},
	{name: 'the head of a second request in the same read', writes: [whole + openHead], isCounted: true},
	{
		name: 'a connection that has closed', writes: [openHead], isClosed: true, isCounted: false,
	},
])('counts $name: $isCounted', async ({writes, isClosed, isCounted}) => {
	const held = new HeldBytes();
	const {port} = await start((req, res) => {
		req.resume();
		req.once('end', () => {
			res.end();
		});
	}, peer => held.open(peer, 'caller', () => undefined));
	const {socket} = connectTo(port);
	for (const text of writes) {
		socket.write(text);
		await delay(50); // eslint-disable-line no-await-in-loop -- each write arrives as a read of its own
	}

	if (isClosed ?? isCounted) {
		// Beside load, the connection alone may take longer than the delay after the first write.
		await vi.waitFor(() => {
			expect(held.total).toBeGreaterThan(0);
		}, 5000);
	}

	if (isClosed) {
		socket.resetAndDestroy();
		await delay(50);
	}

	expect(held.total > 0).toBe(isCounted);
});

// Guards against a caller with a small head that loses its connection because of others with large ones.
it('gives up the connection with the largest head', async () => {
	const held = new HeldBytes(100_000);
	const {port} = await start(() => undefined, peer => held.open(peer, 'caller', () => {
		peer.resetAndDestroy();
	}));
	const callers = [1000, 40_000, 60_000].map(bytes => ({bytes, ...connectTo(port)}));
	const lost: number[] = [];
	for (const {bytes, socket} of callers) {
		socket.once('close', () => {
			lost.push(bytes);
		});
		socket.write(`GET / HTTP/1.1\r\nx-a: ${'b'.repeat(bytes - 21)}`);
		await delay(50); // eslint-disable-line no-await-in-loop -- one after the other
	}

	await expect.poll(() => lost).toEqual([60_000]);
});
