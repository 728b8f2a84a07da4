import {createServer, type AddressInfo, type Socket} from 'node:net';
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

afterEach(() => {
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
