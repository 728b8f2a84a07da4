import {
	createServer, type Server, type Socket, type AddressInfo,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {type AnswerHead} from '../common/forwarding/forward-request.js';
import {type BackendCodec} from './backend-codec.js';
import {HttpBackendPort} from './http-backend-port.js';

const codec: BackendCodec = {
	encodeHeaders: () => ['host', 'h.example'],
	decodeHead: (status, headers) => ({
		status, headers: [], isNotRun: false, isHostFault: false, isOtherServer: false, isSigned: true, isForRequest: true, confidence: undefined, requestsPerSecond: undefined, maxRefusalsPerSecond: undefined, length: headers['content-length'] === undefined ? undefined : Number(headers['content-length']), framing: 'chunked', retryAfterSeconds: undefined, isLeaving: false,
	}),
};

let server: Server | undefined;
let port: HttpBackendPort | undefined;

afterEach(() => {
	port?.dispose();
	port = undefined;
	server?.close();
});

async function listen(onRequest: (socket: Socket) => void): Promise<string> {
	server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			onRequest(socket);
		});
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends one request, over one connection at most. @returns its events in order. */
async function send(address: string, mayStart = () => true): Promise<string[]> {
	port ??= new HttpBackendPort(codec, nullLogger);
	const seen: string[] = [];
	return new Promise(resolve => {
		port!.send({
			method: 'GET', target: '/', headers: [], body: undefined,
		}, {
			requestId: 'q', serverId: 's', address, maxConnections: 1, remainingMs: 1000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
			mayStart,
			onHead(head: AnswerHead) {
				seen.push(`head ${head.status}`);
			},
			onData(chunk) {
				seen.push(`data ${chunk.length}`);
				return true;
			},
			onEnd() {
				resolve([...seen, 'end']);
			},
			onFailure({isUnsent}) {
				resolve([...seen, isUnsent ? 'unsent' : 'failed']);
			},
		});
	});
}

const head = 'HTTP/1.1 200 OK\r\n';

// Guards against truncated or invalid answers that are reported as complete.
it.each<{name: string; answer: (socket: Socket) => void; seen: string[]}>([
	{
		name: 'an answer with a length', answer(socket) {
			socket.write(`${head}content-length: 3\r\n\r\nabc`);
		}, seen: ['head 200', 'data 3', 'end'],
	},
	{
		name: 'a close-delimited answer', answer(socket) {
			socket.end(`${head}\r\nabc`);
		}, seen: ['head 200', 'data 3', 'end'],
	},
	{
		name: 'a close-delimited answer whose connection is reset', answer(socket) {
			socket.write(`${head}\r\nabc`, () => {
				setTimeout(() => socket.resetAndDestroy(), 50);
			});
		}, seen: ['head 200', 'data 3', 'failed'],
	},
	{
		name: 'an answer shorter than its length', answer(socket) {
			socket.end(`${head}content-length: 5\r\n\r\nabc`);
		}, seen: ['head 200', 'data 3', 'failed'],
	},
	{
		name: 'bytes that are not HTTP', answer(socket) {
			socket.end('garbage\r\n\r\n');
		}, seen: ['failed'],
	},
	{
		name: 'a connection closed without an answer', answer(socket) {
			socket.end();
		}, seen: ['failed'],
	},
])('reports $name', async ({answer, seen}) => {
	expect(await send(await listen(answer))).toEqual(seen);
});

// Guards against reporting that a request may have run although no byte of it was sent.
it('reports a request as unsent when the connection fails', async () => {
	const address = await listen(() => undefined);
	await new Promise<void>(resolve => {
		server!.close(() => {
			resolve();
		});
	});
	expect(await send(address)).toEqual(['unsent']);
});

// Guards against a request that is written after a wait for a connection although it may no longer be sent, and against closing
// the connection for which it waited.
it('drops a waiting request that may not start, and keeps its connection', async () => {
	let connections = 0;
	const requests: string[] = [];
	server = createServer(socket => {
		connections++;
		socket.on('error', () => undefined);
		socket.on('data', data => {
			requests.push(data.toString().split(' ')[0]!);
			setTimeout(() => {
				socket.write(`${head}content-length: 0\r\n\r\n`);
			}, 30);
		});
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const seen = await Promise.all([send(address), send(address, () => false), send(address)]);
	expect(seen).toEqual([['head 200', 'end'], ['unsent'], ['head 200', 'end']]);
	expect(requests).toHaveLength(2);
	expect(connections).toBe(1);
});

// Guards against a new connection that nobody uses after each aborted attempt, and against taking an abort for a reset of another
// answer from the same server that ends with its connection.
it('closes the connection of an aborted attempt and leaves the other attempts alone', async () => {
	let connections = 0;
	const open = new Set<Socket>();
	server = createServer(socket => {
		connections++;
		open.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			open.delete(socket);
		});
		socket.once('data', () => {
			socket.write(`${head}\r\nabc`);
		});
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	port = new HttpBackendPort(codec, nullLogger);
	const seen: string[] = [];
	const handles = ['a', 'b'].map(name => port!.send({
		method: 'GET', target: '/', headers: [], body: undefined,
	}, {
		requestId: name, serverId: 's', address: `127.0.0.1:${(server!.address() as AddressInfo).port}`, maxConnections: 2, remainingMs: 1000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
	}, {
		mayStart: () => true,
		onHead: () => undefined,
		onData: () => true,
		onEnd() {
			seen.push(`${name} end`);
		},
		onFailure() {
			seen.push(`${name} failed`);
		},
	}));
	await expect.poll(() => open.size).toBe(2);
	await delay(50);
	handles[0]!.abort();
	await expect.poll(() => open.size).toBe(1);
	await delay(100);
	expect(connections).toBe(2);
	[...open][0]!.end();
	await expect.poll(() => seen).toEqual(['b end']);
});

// Guards against cutting an answer that is under way because its server is no longer listed.
it('closes the connections to an address that is no longer listed after its answers have ended', async () => {
	const closed: string[] = [];
	const address = await listen(socket => {
		socket.once('close', () => {
			closed.push('closed');
		});
		socket.write(`${head}content-length: 6\r\n\r\nabc`);
		setTimeout(() => {
			socket.write('def');
		}, 100);
	});
	const answer = send(address);
	await delay(50);
	port!.retain(new Set());
	expect(await answer).toEqual(['head 200', 'data 3', 'data 3', 'end']);
	await expect.poll(() => closed).toEqual(['closed']);
});

// Guards against a process that ends because a server has an address to which no connection can be opened.
it.each(['10.0.0.1:70000', '256.0.0.1:80', 'a b:80', ''])('reports an attempt at the address "%s" as not sent', async address => {
	expect(await send(address)).toEqual(['unsent']);
});
