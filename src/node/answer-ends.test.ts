import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {BackendFormat} from '../../platform/backend-format.js';
import {nullLogger} from '../common/base/null-logger.js';
import {type AttemptHandle} from '../common/forwarding/backend-port.js';
import {RawServer} from '../testing/raw-server.js';
import {HttpBackendPort} from './http-backend-port.js';

const text = 'x'.repeat(40_000);
const sent = 2 * text.length;
/** Answers by their framing: a head, and two parts of the body before its end. */
const framings = {
	close: ['HTTP/1.1 200 OK\r\n\r\n', text, text],
	'close, version 1.0': ['HTTP/1.0 200 OK\r\n\r\n', text, text],
	'close, with a transfer coding': ['HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n', text, text],
	length: [`HTTP/1.1 200 OK\r\ncontent-length: ${sent}\r\n\r\n`, text, text],
	'length, then close': [`HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ${sent}\r\n\r\n`, text, text],
	chunked: ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', inChunk(text), `${inChunk(text)}0\r\n\r\n`],
	'chunked, then close': ['HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n', inChunk(text), `${inChunk(text)}0\r\n\r\n`],
} as const;
type Framing = keyof typeof framings;

function inChunk(data: string): string {
	return `${data.length.toString(16)}\r\n${data}\r\n`;
}

let server: RawServer | undefined;
let port: HttpBackendPort | undefined;

afterEach(() => {
	port?.dispose();
	server?.dispose();
});

async function listen(onRequest: (socket: Socket) => void): Promise<string> {
	server = await RawServer.open((socket, request) => {
		if (request === 1) {
			onRequest(socket);
		}
	});
	port = new HttpBackendPort(new BackendFormat(), nullLogger);
	return server.address;
}

/** Sends a request. Its reader stops after each part for `pauseMs`. @returns the number of bytes of the answer, and how it ended. */
async function send(address: string, pauseMs: number): Promise<{bytes: number; ending: 'end' | 'failure'}> {
	let bytes = 0;
	return new Promise(resolve => {
		const handle: AttemptHandle = port!.send({
			method: 'GET', target: '/', headers: ['host', 'h'], body: undefined,
		}, {
			requestId: 'q', serverId: 's', address, maxConnections: 4, remainingMs: 1000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
			mayStart: () => true,
			onHead: () => undefined,
			onData(chunk) {
				bytes += chunk.length;
				if (pauseMs === 0) {
					return true;
				}

				setTimeout(() => {
					handle.resume();
				}, pauseMs);
				return false;
			},
			onEnd() {
				resolve({bytes, ending: 'end'});
			},
			onFailure() {
				resolve({bytes, ending: 'failure'});
			},
		});
	});
}

// Guards against an answer that is reset and counts as complete, and against a host that ends by an assertion of the HTTP client
// when a server closes or resets a connection while the caller does not read.
it.each(Object.keys(framings).flatMap(framing => [0, 30].flatMap(pauseMs => (['reset', 'reset at once', 'whole', 'whole at once'] as const).map(ending => ({framing: framing as Framing, pauseMs, ending})))))('reports an answer ($framing) as $ending to a reader that pauses for $pauseMs ms', async ({framing, pauseMs, ending}) => {
	const [head, first, second] = framings[framing];
	const address = await listen(socket => {
		if (ending === 'whole at once') {
			socket.end(head + first + second);
			return;
		}

		if (ending === 'reset at once') {
			// The data and the reset arrive together.
			socket.write(head + first);
			socket.resetAndDestroy();
			return;
		}

		socket.write(head + first, () => {
			setTimeout(() => {
				if (ending === 'reset') {
					socket.resetAndDestroy();
				} else {
					socket.end(second);
				}
			}, 10);
		});
	});
	const answer = await send(address, pauseMs);
	expect(answer.ending).toBe(ending.startsWith('reset') ? 'failure' : 'end');
	expect(answer.bytes).toEqual(ending.startsWith('reset') ? expect.any(Number) : sent);
	await delay(pauseMs);
});

// Guards against an answer that counts as broken because another answer of the same server was reset.
it('reports only the answer on the connection that is reset', async () => {
	const open: Socket[] = [];
	const address = await listen(socket => {
		open.push(socket);
		socket.write('HTTP/1.1 200 OK\r\n\r\nabc');
	});
	const first = send(address, 0);
	await expect.poll(() => open.length).toBe(1);
	const second = send(address, 0);
	await expect.poll(() => open.length).toBe(2);
	await delay(20);
	open[0]!.resetAndDestroy();
	open[1]!.end();
	expect(await first).toEqual({bytes: 3, ending: 'failure'});
	expect(await second).toEqual({bytes: 3, ending: 'end'});
});

const lengthHead = 'HTTP/1.1 200 OK\r\ncontent-length: ';
const closeHead = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';

// Guards against a host that ends by an assertion of the HTTP client, and against a whole answer that counts as broken, when the end of
// a connection arrives on its own while the caller does not read and all bytes have been taken.
it.each([
	['close', 'HTTP/1.1 200 OK\r\n\r\nabc', 'end'],
	['length', `${lengthHead}3\r\n\r\nabc`, 'end'],
	['length, cut', `${lengthHead}9\r\n\r\nabc`, 'failure'],
	['length, then close', `${closeHead}content-length: 3\r\n\r\nabc`, 'end'],
	['length, then close, cut', `${closeHead}content-length: 9\r\n\r\nabc`, 'failure'],
	['chunked, cut', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc', 'failure'],
	['chunked, then close, cut', `${closeHead}transfer-encoding: chunked\r\n\r\n9\r\nabc`, 'failure'],
])('reports an end of a connection that arrives in a pause of an answer (%s)', async (_framing, bytes, ending) => {
	const address = await listen(socket => {
		socket.write(bytes, () => {
			setTimeout(() => {
				socket.end();
			}, 20);
		});
	});
	expect(await send(address, 60)).toEqual({bytes: 3, ending});
}, 3000);
