import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {type Disposable} from '../common/base/disposable.js';
import {HeldBytes} from '../common/base/held-bytes.js';
import {nullLogger} from '../common/base/null-logger.js';
import {type PeerMethod} from '../common/base/peer-method.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {Attempt} from '../common/forwarding/attempt.js';
import {AttemptEvidence} from '../common/forwarding/attempt-evidence.js';
import {nullReleaseObserver} from '../common/forwarding/null-release-observer.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {type BackendCodec} from '../node/backend-codec.js';
import {HttpBackendPort} from '../node/http-backend-port.js';
import {HttpPeerTransport} from '../node/http-peer-transport.js';
import {SseParser} from '../node/sse-parser.js';
import {SystemClock} from '../node/system-clock.js';
import {
	createForwarderFixture, createTestForwarder, endlessLease, testBackend, testRoute, testTable,
} from '../testing/forwarder-fixture.js';
import {heldMemory} from '../testing/held-memory.js';
import {writePieces} from '../testing/piece-writer.js';
import {RecordingSink} from '../testing/recording-sink.js';
import {answerHead} from '../testing/scripted-port.js';
import {type CallerCodec} from './caller-codec.js';
import {CallerServer} from './caller-server.js';
import {readBody} from './read-body.js';

const bytes = Buffer.from('0123456789abcdef'.repeat(32 * 1024));
/** Memory in bytes that may be held: a few times the bytes, and what else the process has begun to use. */
const maxHeldBytes = (4 * bytes.length) + (8 * 1024 * 1024);
const sizes = [1, 64, 16_384];
const open: Disposable[] = [];

afterEach(() => {
	for (const item of open.splice(0).reverse()) {
		item.dispose();
	}
});

async function listen(server: Server): Promise<number> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	open.push({
		dispose() {
			server.close();
		},
	});
	return (server.address() as AddressInfo).port;
}

/** Connects to a port of this process. */
function connectTo(port: number): Socket {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	open.push({
		dispose() {
			socket.destroy();
		},
	});
	return socket;
}

/** Starts a server that answers each request in pieces. @returns its port; `held` resolves with the memory before the last chunk is sent. */
async function answerInPieces(head: string, body: (request: string) => Uint8Array, pieceBytes: number) {
	let finish!: (held: number) => void;
	const held = new Promise<number>(resolve => {
		finish = resolve;
	});
	const port = await listen(createServer(socket => {
		open.push({
			dispose() {
				socket.destroy();
			},
		});
		socket.on('error', () => undefined);
		socket.once('data', async data => {
			socket.write(`HTTP/1.1 200 OK\r\n${head}transfer-encoding: chunked\r\n\r\n`);
			await writePieces(socket, body(String(data)), pieceBytes);
			finish(heldMemory());
			socket.write('0\r\n\r\n');
		});
	}));
	return {port, held};
}

const codec: CallerCodec = {
	decode: ({method, target, headers, body}) => ({
		id: 'q', hostname: 'h.example', path: target, key: 'key', deadlineMs: 60_000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
			method, target, headers, body,
		},
	}),
	refusalHeaders: () => [],
};
const backendCodec: BackendCodec = {
	encodeHeaders: () => [],
	decodeHead: (status: number) => answerHead({status}),
};

/** Sends a request with a body in pieces. @returns the memory held before its last chunk. */
async function sendInPieces(port: number, pieceBytes: number): Promise<number> {
	const socket = connectTo(port);
	socket.write('POST /a/x HTTP/1.1\r\nhost: h.example\r\ntransfer-encoding: chunked\r\n\r\n');
	await writePieces(socket, bytes, pieceBytes);
	const held = heldMemory();
	socket.write('0\r\n\r\n');
	await once(socket, 'data');
	return held;
}

/** Forwards a request to a server that answers in pieces. @returns what the caller received, and the memory held before the end. */
async function forward(kind: 'idempotent' | 'stream', body: Uint8Array, pieceBytes: number) {
	const {port: serverPort, held} = await answerInPieces('', () => body, pieceBytes);
	const clock = new SystemClock();
	const pool = new ServerPool();
	pool.update([testBackend('a', {address: `127.0.0.1:${serverPort}`})], clock.now());
	const port = new HttpBackendPort(backendCodec, nullLogger);
	open.push(port);
	const table = testTable([testRoute({repetition: kind, timeoutMs: 60_000, targetLatencyMs: 60_000})]);
	const forwarder = createTestForwarder({
		clock, lease: endlessLease, random: new SeededRandom(1), pool, port, budget: () => new RetryBudget(0.5, 5), state: () => ({
			table, rollouts: new Map(), quarantinedParts: new Map(), quarantinedRequests: new Map(), hostCount: 1, hostIndex: 0,
		}),
	});
	const sink = new RecordingSink();
	const finished = new Promise<void>(resolve => {
		sink.onFinished = resolve;
	});
	forwarder.forward({
		id: 'q', hostname: 'h', path: '/x', key: undefined, deadlineMs: 60_000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
			method: 'GET', target: '/x', headers: [], body: undefined,
		},
	}, sink);
	const heldBytes = await held;
	await finished;
	return {received: sink.text, held: heldBytes};
}

/** Ways by which bytes of peers reach a host, each with the bytes that arrived and the memory held before their end. */
const paths: Readonly<Record<string, (pieceBytes: number) => Promise<{received: string; held: number; expected?: string}>>> = {
	async 'the body of a request'(pieceBytes) {
		const {forwarder, port} = createForwarderFixture('idempotent');
		let body: Uint8Array | undefined;
		port.onAttempt = ({message, events}) => {
			body = message.body;
			events.onHead(answerHead({length: 0}));
			events.onEnd();
		};

		const server = new CallerServer(forwarder, codec);
		open.push(server);
		const held = await sendInPieces(await server.listen({host: '127.0.0.1', port: 0}), pieceBytes);
		return {received: Buffer.from(body!).toString(), held};
	},
	async 'the body of a call'(pieceBytes) {
		let received = '';
		const port = await listen(createHttpServer(async (req, res) => {
			received = await readBody(req, bytes.length);
			res.end();
		}));
		return {held: await sendInPieces(port, pieceBytes), received};
	},
	'a plain answer': async pieceBytes => forward('idempotent', bytes, pieceBytes),
	async 'a stream'(pieceBytes) {
		const event = `id: 1\ndata: ${'x'.repeat(60_000)}\n\n`;
		return {...await forward('stream', Buffer.from(event), pieceBytes), expected: event};
	},
	async 'a held answer'(pieceBytes) {
		const pool = new ServerPool();
		pool.update([testBackend('a')], 0);
		const record = pool.openServers('s')[0]!;
		const attempt = new Attempt(record, 'm', 0, new AttemptEvidence(nullReleaseObserver, {
			service: 's', route: 'r', record, model: 'm',
		}, 0), new HeldBytes().open('a', 'a', () => undefined));
		for (let at = 0; at < bytes.length; at += pieceBytes) {
			attempt.buffer(bytes.subarray(at, at + pieceBytes));
		}

		const held = heldMemory();
		return {received: Buffer.concat(attempt.takeBuffered()).toString(), held};
	},
	async 'a reply of another host'(pieceBytes) {
		const {port, held} = await answerInPieces('', request => {
			const id = /"id":(?<id>\d+)/v.exec(request)!.groups!.id!;
			return Buffer.from(`{"jsonrpc":"2.0","id":${id},"result":"${String(bytes)}"}`);
		}, pieceBytes);
		const transport = new HttpPeerTransport('self', peer => peer, undefined);
		open.push(transport);
		const method = {name: 'm'} as unknown as PeerMethod<undefined, string>;
		const received = await transport.call(`127.0.0.1:${port}`, method, undefined, 60_000);
		return {received, held: await held};
	},
	async 'the tokens of a model'(pieceBytes) {
		const parser = new SseParser();
		const line = Buffer.from(`data: ${String(bytes)}\n`);
		const found: string[] = [];
		for (let at = 0; at < line.length - 1; at += pieceBytes) {
			found.push(...parser.push(line.subarray(at, Math.min(line.length - 1, at + pieceBytes))));
		}

		const held = heldMemory();
		found.push(...parser.push(line.subarray(-1)));
		return {received: found.join(''), held};
	},
};

// Guards against a process that runs out of memory because a peer sends few bytes in very many pieces.
it.each(Object.keys(paths).flatMap(path => sizes.map(size => ({path, size}))))('holds memory by the bytes of $path in pieces of $size bytes', async ({path, size}) => {
	const before = heldMemory();
	const {received, held, expected = String(bytes)} = await paths[path]!(size);
	expect(received === expected).toBe(true);
	expect(held - before).toBeLessThan(maxHeldBytes);
}, 60_000);
