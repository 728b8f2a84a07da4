import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {answerHead} from '../testing/scripted-port.js';
import {type BackendCodec} from './backend-codec.js';
import {HttpBackendPort} from './http-backend-port.js';

const codec: BackendCodec = {
	encodeHeaders: (_, {remainingMs, requestId}) => ['host', 'h.example', 'x-id', requestId, 'x-left', String(remainingMs)],
	decodeHead: status => answerHead({status}),
};
const answerText = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** A server that records the heads of requests and answers them when the test says so. */
class HeldServer {
	readonly heads: string[] = [];
	readonly sockets: Socket[] = [];
	connections = 0;
	private readonly _server = createServer(socket => {
		this.connections++;
		socket.on('error', () => undefined);
		socket.on('data', data => {
			this.heads.push(data.toString());
			this.sockets.push(socket);
		});
	});

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this._server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
	}

	/** Milliseconds left by the head of a request. */
	leftOf(id: string): number {
		const head = this.heads.find(text => text.includes(`x-id: ${id}\r\n`));
		return Number(/x-left: (?<left>\d+)/v.exec(head ?? '')?.groups!.left);
	}

	close(): void {
		this._server.close();
	}
}

let server: HeldServer;
let port: HttpBackendPort;

afterEach(() => {
	port.dispose();
	server.close();
});

async function start(): Promise<string> {
	server = new HeldServer();
	port = new HttpBackendPort(codec, nullLogger);
	return server.listen();
}

/** Sends a request that has 1,000 ms left. @returns a list to which its events are added. */
function send(address: string, id: string, maxConnections: number, mayStart = () => true): string[] {
	const seen: string[] = [];
	port.send({
		method: 'GET', target: '/', headers: [], body: undefined,
	}, {
		requestId: id, serverId: 's', address, maxConnections, remainingMs: 1000, customer: undefined, model: undefined, priority: undefined, resumeAfter: undefined, repetition: 'once',
	}, {
		mayStart,
		onHead: () => undefined,
		onData: () => true,
		onEnd() {
			seen.push('end');
		},
		onFailure({isUnsent, reason}) {
			seen.push(isUnsent ? `unsent ${reason}` : `failed ${reason}`);
		},
	});
	return seen;
}

// Guards against a request that waits until the server that has left has a free connection, and is then sent to it.
it('withdraws at once what waits for a server that is no longer listed, and lets running requests end', async () => {
	const address = await start();
	const running = send(address, 'running', 1);
	await expect.poll(() => server.heads.length).toBe(1);
	const waiting = send(address, 'waiting', 1);
	await delay(20);
	port.retain(new Set());
	expect(waiting).toEqual(['unsent withdrawn']);
	server.sockets[0]!.write(answerText);
	await expect.poll(() => running).toEqual(['end']);
	await delay(50);
	expect(waiting).toEqual(['unsent withdrawn']);
	expect(server.heads).toHaveLength(1);
});

// Guards against requests that wait although the host may use more connections than when it sent the first request to the server.
it('uses more connections when their limit has grown', async () => {
	const address = await start();
	const first = send(address, 'first', 1);
	await expect.poll(() => server.heads.length).toBe(1);
	const second = send(address, 'second', 2);
	await expect.poll(() => server.heads.length).toBe(2);
	for (const socket of server.sockets) {
		socket.write(answerText);
	}

	await expect.poll(() => [...first, ...second]).toEqual(['end', 'end']);
	expect(server.connections).toBe(2);
});

// Guards against a server that works beyond the deadline of a request which has waited for its connection.
it('tells the server the time that is left when the request is written', async () => {
	const address = await start();
	send(address, 'first', 1);
	await expect.poll(() => server.heads.length).toBe(1);
	const second = send(address, 'second', 1);
	await delay(200);
	server.sockets[0]!.write(answerText);
	await expect.poll(() => server.heads.length).toBe(2);
	expect(server.leftOf('first')).toBeGreaterThan(900);
	expect(server.leftOf('second')).toBeLessThanOrEqual(850);
	server.sockets[1]!.write(answerText);
	await expect.poll(() => second).toEqual(['end']);
	expect(server.connections).toBe(1);
});

// Guards against a request whose headers are made anew after a wait and that uses the room of a cold server twice, so that it is withdrawn.
it('asks once whether a request that has waited may be written', async () => {
	const address = await start();
	let asked = 0;
	send(address, 'first', 1);
	await expect.poll(() => server.heads.length).toBe(1);
	const second = send(address, 'second', 1, () => ++asked === 1);
	await delay(100);
	server.sockets[0]!.write(answerText);
	await expect.poll(() => server.heads.length + second.length).toBe(2);
	expect([asked, second, server.heads.length]).toEqual([1, [], 2]);
});
