import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {type AttemptHandle} from '../common/forwarding/backend-port.js';
import {answerHead} from '../testing/scripted-port.js';
import {HttpBackendPort} from './http-backend-port.js';

const pieceBytes = 64;
const maxReadBytes = 256 * 1024;
let port: HttpBackendPort | undefined;
let socket: Socket | undefined;
const server = createServer();
const errors: unknown[] = [];
const onError = (error: unknown) => {
	errors.push(error);
};

afterEach(() => {
	process.off('uncaughtException', onError);
	server.removeAllListeners('connection');
	port?.dispose();
	socket?.destroy();
	server.close();
});

// Guards against memory that grows with each pause of an answer when its server sends faster than its caller reads.
it('reads only a little more of an answer than is passed on', async () => {
	const part = `${pieceBytes.toString(16)}\r\n${'x'.repeat(pieceBytes)}\r\n`;
	let sent = 0;
	server.on('connection', accepted => {
		socket = accepted;
		accepted.on('error', () => undefined);
		accepted.once('data', () => {
			accepted.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
			const write = () => {
				if (!accepted.destroyed) {
					accepted.write(part.repeat(1000), () => {
						sent += part.length * 1000;
						setImmediate(write);
					});
				}
			};

			write();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	port = new HttpBackendPort({encodeHeaders: () => [], decodeHead: status => answerHead({status})}, nullLogger);
	let pieces = 0;
	let handle: AttemptHandle | undefined;
	handle = port.send({
		method: 'GET', target: '/', headers: [], body: undefined,
	}, {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, maxConnections: 1} as Parameters<HttpBackendPort['send']>[1], {
		mayStart: () => true,
		onHead: () => undefined,
		onData() {
			pieces++;
			setTimeout(() => {
				handle?.resume();
			}, 2);
			return false;
		},
		onEnd: () => undefined,
		onFailure: () => undefined,
	});
	// What the operating system holds does not count: it is full before the first pauses end.
	await delay(300);
	const [sentBefore, piecesBefore] = [sent, pieces];
	await delay(700);
	handle.abort();
	handle = undefined;
	expect(pieces).toBeGreaterThan(piecesBefore);
	expect(sent - sentBefore - ((pieces - piecesBefore) * part.length)).toBeLessThan(maxReadBytes);
});

const okHead = 'HTTP/1.1 200 OK\r\n';

// Guards against a process that ends by an assertion of the HTTP client, and against a complete answer that is reported as broken, because a server closes its connection while the answer is paused.
it.each<{name: string; answer: string; outcome: string}>([
	{name: 'an answer that ends with its connection', answer: `${okHead}\r\nabc`, outcome: 'end'},
	{name: 'a complete answer of a connection that closes', answer: `${okHead}connection: close\r\ncontent-length: 3\r\n\r\nabc`, outcome: 'end'},
	{name: 'a complete answer of a connection that may stay', answer: `${okHead}content-length: 3\r\n\r\nabc`, outcome: 'end'},
	{name: 'a complete answer in chunks', answer: `${okHead}connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`, outcome: 'end'},
	{name: 'an answer that is too short', answer: `${okHead}connection: close\r\ncontent-length: 4\r\n\r\nabc`, outcome: 'failure'},
	{name: 'an answer without its last chunk', answer: `${okHead}connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc`, outcome: 'failure'},
])('reports the end of $name only after its pause', async ({answer, outcome}) => {
	process.on('uncaughtException', onError);
	server.on('connection', accepted => {
		socket = accepted;
		accepted.on('error', () => undefined);
		accepted.once('data', () => {
			accepted.write(answer);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	port = new HttpBackendPort({encodeHeaders: () => [], decodeHead: status => answerHead({status})}, nullLogger);
	const seen: string[] = [];
	let isClosed = false;
	const handle = port.send({
		method: 'GET', target: '/', headers: [], body: undefined,
	}, {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, maxConnections: 1} as Parameters<HttpBackendPort['send']>[1], {
		mayStart: () => true,
		onHead: () => undefined,
		onData(chunk) {
			seen.push(`data ${chunk.length}`);
			// The end of the connection arrives alone, when all bytes have been read.
			setTimeout(() => {
				socket!.end(() => {
					isClosed = true;
				});
			}, 30);
			return false;
		},
		onEnd() {
			seen.push('end');
		},
		onFailure() {
			seen.push('failure');
		},
	});
	await expect.poll(() => isClosed).toBe(true);
	await delay(100);
	expect({seen, errors}).toEqual({seen: ['data 3'], errors: []});
	handle.resume();
	await expect.poll(() => seen.length).toBe(2);
	expect({seen, errors}).toEqual({seen: ['data 3', outcome], errors: []});
});
