import {
	createServer, type Server, type Socket, type AddressInfo,
} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {type AnswerHead} from '../common/forwarding/forward-request.js';
import {type BackendCodec} from './backend-codec.js';
import {HttpBackendPort} from './http-backend-port.js';

const codec: BackendCodec = {
	encodeHeaders: () => ['host', 'h.example'],
	decodeHead: (status, headers) => ({
		status, headers: [], isNotRun: false, isOtherServer: false, isSigned: true, isForRequest: true, confidence: undefined, length: headers['content-length'] === undefined ? undefined : Number(headers['content-length']), isUnframed: false, retryAfterSeconds: undefined,
	}),
};

let server: Server | undefined;
let port: HttpBackendPort | undefined;

afterEach(() => {
	port?.dispose();
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

/** Sends one request. @returns what happened, in order. */
async function send(address: string): Promise<string[]> {
	port = new HttpBackendPort(codec, nullLogger);
	const seen: string[] = [];
	return new Promise(resolve => {
		port!.send({
			method: 'GET', target: '/', headers: [], body: undefined,
		}, {
			requestId: 'q', serverId: 's', address, maxConnections: 2, remainingMs: 1000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'idempotent',
		}, {
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

// Guards against answers that are broken off, or that nobody asked for, and look complete.
it.each<{name: string; answer: (socket: Socket) => void; seen: string[]}>([
	{
		name: 'an answer with a length', answer(socket) {
			socket.write(`${head}content-length: 3\r\n\r\nabc`);
		}, seen: ['head 200', 'data 3', 'end'],
	},
	{
		name: 'an answer without a length', answer(socket) {
			socket.end(`${head}\r\nabc`);
		}, seen: ['head 200', 'data 3', 'end'],
	},
	{
		name: 'an answer without a length that is reset', answer(socket) {
			socket.write(`${head}\r\nabc`, () => {
				setTimeout(() => socket.resetAndDestroy(), 50);
			});
		}, seen: ['head 200', 'data 3', 'failed'],
	},
	{
		name: 'a short answer', answer(socket) {
			socket.end(`${head}content-length: 5\r\n\r\nabc`);
		}, seen: ['head 200', 'data 3', 'failed'],
	},
	{
		name: 'bytes that are no answer', answer(socket) {
			socket.end('garbage\r\n\r\n');
		}, seen: ['failed'],
	},
	{
		name: 'a closed connection', answer(socket) {
			socket.end();
		}, seen: ['failed'],
	},
])('reports $name', async ({answer, seen}) => {
	expect(await send(await listen(answer))).toEqual(seen);
});

// Guards against calling a request possibly run that never left this host.
it('tells that nothing was sent when no connection opens', async () => {
	const address = await listen(() => undefined);
	await new Promise<void>(resolve => {
		server!.close(() => {
			resolve();
		});
	});
	expect(await send(address)).toEqual(['unsent']);
});
