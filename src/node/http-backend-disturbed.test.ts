import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {SeededRandom} from '../common/base/seeded-random.js';
import {nullLogger} from '../common/base/null-logger.js';
import {type AttemptHandle} from '../common/forwarding/backend-port.js';
import {type BackendCodec} from './backend-codec.js';
import {HttpBackendPort} from './http-backend-port.js';

const codec: BackendCodec = {
	encodeHeaders: () => ['host', 'h.example'],
	decodeHead: (status, headers) => ({
		status, headers: [], isNotRun: false, isHostFault: false, isOtherServer: false, isSigned: true, isForRequest: true, confidence: undefined, requestsPerSecond: undefined, maxRefusalsPerSecond: undefined, length: headers['content-length'] === undefined ? undefined : Number(headers['content-length']), framing: 'chunked', retryAfterSeconds: undefined, isLeaving: false,
	}),
};

/** Attempts of one seed. */
const attemptCount = 600;

/** Answers each request on a connection in a random way. */
function play(socket: Socket, random: SeededRandom): void {
	socket.on('error', () => undefined);
	socket.setNoDelay(true);
	socket.on('data', () => {
		void answer(socket, random);
	});
}

async function answer(socket: Socket, random: SeededRandom): Promise<void> {
	const size = random.integer(4) === 0 ? 200_000 : random.integer(3000);
	const framing = random.integer(3);
	const keep = ['', 'connection: close\r\n', 'keep-alive: timeout=1\r\n', 'keep-alive: timeout=0\r\n', 'keep-alive: timeout=99999999999999999999\r\n'][random.integer(5)]!;
	const interim = random.integer(6) === 0 ? 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n' : '';
	const status = ['200 OK', '200 OK', '200 OK', '204 No Content', '304 Not Modified', '500 x', '101 Switching Protocols', '999 x'][random.integer(8)]!;
	const body = 'x'.repeat(size);
	let bytes = `${interim}HTTP/1.1 ${status}\r\n${keep}`;
	if (framing === 0) {
		bytes += `content-length: ${size + [0, 0, 0, 1, -1][random.integer(5)]!}\r\n\r\n${body}`;
	} else if (framing === 1) {
		const piece = 1 + random.integer(size === 0 ? 1 : Math.max(1, Math.min(size, 5000)));
		bytes += 'transfer-encoding: chunked\r\n\r\n';
		for (let at = 0; at < size; at += piece) {
			const part = body.slice(at, at + piece);
			bytes += `${part.length.toString(16)}${random.integer(20) === 0 ? ';a=b' : ''}\r\n${part}\r\n`;
		}

		bytes += '0\r\n' + (random.integer(10) === 0 ? 'x-t: 1\r\n' : '') + '\r\n';
	} else {
		bytes += `\r\n${body}`;
	}

	const mood = random.integer(12);
	switch (mood) {
		case 0: {
			bytes += 'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\ny';
			break;
		}

		case 1: {
			bytes = bytes.slice(0, random.integer(bytes.length));
			break;
		}

		case 2: {
			const at = random.integer(bytes.length);
			bytes = bytes.slice(0, at) + String.fromCodePoint(random.integer(256)) + bytes.slice(at + 1);
			break;
		}

		default:
	}

	const pieces = 1 + random.integer(5);
	for (let index = 0; index < pieces; index++) {
		const part = bytes.slice(Math.floor(bytes.length * index / pieces), Math.floor(bytes.length * (index + 1) / pieces));
		socket.write(part, 'latin1');
		await delay(random.integer(3)); // eslint-disable-line no-await-in-loop -- pieces follow each other
	}

	const end = random.integer(6);
	if (framing === 2 || end === 0) {
		socket.end();
	} else if (end === 1) {
		socket.resetAndDestroy();
	}
}

// Guards against an error outside of any request in the HTTP client, which ends the process.
it.each([1, 2, 3, 4])('throws nothing outside of a request, seed %i', async seed => {
	const random = new SeededRandom(seed);
	const errors: unknown[] = [];
	const onError = (error: unknown) => {
		errors.push(error);
	};

	process.on('uncaughtException', onError);
	process.on('unhandledRejection', onError);
	const servers: Server[] = [];
	for (let index = 0; index < 4; index++) {
		const server = createServer(socket => {
			play(socket, random);
		});
		await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop -- one after the other
			server.listen(0, '127.0.0.1', resolve);
		});
		servers.push(server);
	}

	const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	const port = new HttpBackendPort(codec, nullLogger);
	const open = new Set<AttemptHandle>();
	const some = () => [...open][random.integer(Math.max(1, open.size))];
	const disturb = () => {
		const kind = random.integer(30);
		if (kind < 6) {
			some()?.resume();
		} else if (kind === 6) {
			const handle = some();
			if (handle) {
				open.delete(handle);
				handle.abort();
			}
		} else if (kind === 7) {
			port.retain(new Set(addresses.filter(() => random.integer(3) > 0)));
		}
	};

	let sent = 0;
	const send = () => {
		sent++;
		const finish = () => {
			open.delete(handle);
			disturb();
			if (sent < attemptCount && random.integer(3) === 0) {
				send();
			}
		};

		const handle: AttemptHandle = port.send({
			method: ['GET', 'POST', 'HEAD'][random.integer(3)]!, target: '/', headers: [], body: random.integer(2) === 0 ? undefined : new Uint8Array(random.integer(5000)),
		}, {
			requestId: 'q', serverId: 's', address: addresses[random.integer(addresses.length)]!, maxConnections: 1 + random.integer(6), remainingMs: 1000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
			mayStart() {
				disturb();
				return random.integer(20) > 0;
			},
			onHead() {
				disturb();
			},
			onData() {
				disturb();
				return random.integer(3) > 0;
			},
			onEnd: finish,
			onFailure: finish,
		});
		open.add(handle);
		const timer = setInterval(() => {
			if (open.has(handle)) {
				handle.resume();
			} else {
				clearInterval(timer);
			}
		}, 3);
		setTimeout(() => {
			if (open.delete(handle)) {
				handle.abort();
			}
		}, 500);
	};

	const isDone = () => sent >= attemptCount;
	while (!isDone()) {
		send();
		disturb();
		await delay(random.integer(3)); // eslint-disable-line no-await-in-loop -- requests follow each other
	}

	await delay(600);
	port.dispose();
	for (const server of servers) {
		server.close();
	}

	await delay(100);
	process.off('uncaughtException', onError);
	process.off('unhandledRejection', onError);
	expect(errors).toEqual([]);
}, 30_000);
