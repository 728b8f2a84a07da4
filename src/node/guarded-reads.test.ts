import {type Socket} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {BackendFormat} from '../../platform/backend-format.js';
import {nullLogger} from '../common/base/null-logger.js';
import {RawServer} from '../testing/raw-server.js';
import {HttpBackendPort} from './http-backend-port.js';

let server: RawServer | undefined;
let port: HttpBackendPort | undefined;

afterEach(() => {
	port?.dispose();
	server?.dispose();
});

/** Calls back for each request of a connection, with its number. */
async function listen(onRequest: (socket: Socket, request: number) => void): Promise<void> {
	server = await RawServer.open(onRequest);
	port = new HttpBackendPort(new BackendFormat(), nullLogger);
}

/** Sends a request. @returns 'end', or the reason of the failure. */
async function send(method = 'GET', onData?: () => void): Promise<string> {
	return new Promise(resolve => {
		port!.send({
			method, target: '/', headers: ['host', 'h'], body: undefined,
		}, {
			requestId: 'q', serverId: 's', address: server!.address, maxConnections: 1, remainingMs: 5000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
			mayStart: () => true,
			onHead: () => undefined,
			onData() {
				onData?.();
				return true;
			},
			onEnd() {
				resolve('end');
			},
			onFailure({reason}) {
				resolve(reason);
			},
		});
	});
}

// Guards against a reset that is taken for the regular end of an answer, on a connection with an earlier answer that was slowed down.
it('reports a reset of a connection that was slowed down', async () => {
	let accepted: Socket | undefined;
	await listen((socket, request) => {
		accepted = socket;
		socket.write(request === 1
			? `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(5000)}0\r\n\r\n`
			: `HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(4000)}`);
	});
	expect(await send()).toBe('end');
	let pieces = 0;
	const ending = await send('GET', () => {
		if (++pieces === 1) {
			// The data and the reset arrive in one turn of the event loop.
			accepted!.write('x'.repeat(4000));
			accepted!.resetAndDestroy();
		}
	});
	expect(server!.connections).toBe(1);
	expect(ending).not.toBe('end');
});

// Guards against bytes that are summed up over all answers of a connection because its requests are not recognized.
it.each(['GET', 'M-SEARCH'])('counts the bytes of each answer to %s alone', async method => {
	await listen(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nx-a: ${'b'.repeat(4000)}\r\ncontent-length: 0\r\n\r\n`);
	});
	for (let i = 0; i < 20; i++) {
		expect(await send(method)).toBe('end'); // eslint-disable-line no-await-in-loop -- one connection
	}

	expect(server!.connections).toBe(1);
});

// Guards against an answer that is lost because of the bytes after it, such as the body that a server sends with an answer to HEAD.
it.each([
	['HEAD', '200 OK'],
	['GET', '204 No Content'],
	['GET', '304 Not Modified'],
])('passes on an answer to %s of %s that has a body all the same', async (method, status) => {
	await listen(socket => {
		const body = 'abc\r\n'.repeat(10_000);
		socket.write(`HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
	});
	expect(await send(method)).toBe('end');
});
