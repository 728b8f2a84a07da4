import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {type GivenUpPeer, HeldBytes} from '../common/base/held-bytes.js';
import {createForwarderFixture} from '../testing/forwarder-fixture.js';
import {heldMemory} from '../testing/held-memory.js';
import {answerHead} from '../testing/scripted-port.js';
import {type CallerCodec} from './caller-codec.js';
import {CallerServer} from './caller-server.js';

const megabyte = 1024 * 1024;
/** Memory limit of a host; most of it is left for what is held, with what its buffers take besides their bytes. */
const memoryLimit = 220 * megabyte;
const ownShare = 0.25;
const limit = 0.15 * memoryLimit;
const answerBytes = megabyte;

const codec: CallerCodec = {
	decode: ({method, target, headers, body}) => ({
		id: 'q', hostname: 'h.example', path: target, key: 'key', deadlineMs: 60_000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
			method, target, headers, body,
		},
	}),
	refusalHeaders: () => [],
};

const opened: Array<() => void> = [];
afterEach(() => {
	for (const close of opened.splice(0)) {
		close();
	}
});

/** Starts a server for callers whose backend server gives large answers. */
async function start() {
	const {forwarder, port} = createForwarderFixture('idempotent', {timeoutMs: 60_000});
	port.onAttempt = ({events}) => {
		port.attempts.length = 0;
		events.onHead(answerHead({length: answerBytes}));
		events.onData(Buffer.alloc(answerBytes, 'x'));
		events.onEnd();
	};

	const held = new HeldBytes(limit);
	const givenUp: GivenUpPeer[] = [];
	held.onGivenUp(peer => {
		givenUp.push(peer);
	});
	const server = new CallerServer(forwarder, codec, held);
	server.setLimits({
		maxHeaderBytes: 1000, maxBodyBytes: 100 * megabyte, headerTimeoutMs: 60_000, idleTimeoutMs: 60_000,
	});
	opened.push(() => {
		server.dispose();
	});

	return {
		held, givenUp, server, port: await server.listen({host: '127.0.0.1', port: 0}),
	};
}

function connectCaller(port: number): Socket {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	opened.push(() => {
		socket.destroy();
	});
	return socket;
}

const get = 'GET /a/x HTTP/1.1\r\nhost: h\r\n\r\n';

/** What one peer or many make a host hold; the requests of one connection are not read on while their answers are not read. */
const floods: Readonly<Record<string, {readonly start: (port: number) => void; readonly isGivenUp: boolean}>> = {
	'answers that one caller does not read': {
		start(port) {
			connectCaller(port).pause().write(get.repeat(300));
		}, isGivenUp: false,
	},
	'answers that many callers do not read': {
		start(port) {
			for (let caller = 0; caller < 50; caller++) {
				connectCaller(port).pause().write(get.repeat(20));
			}
		}, isGivenUp: true,
	},
	'bodies that are not complete': {
		start(port) {
			for (let caller = 0; caller < 30; caller++) {
				connectCaller(port).write(Buffer.concat([Buffer.from(`POST /a/x HTTP/1.1\r\nhost: h\r\ncontent-length: ${10 * megabyte}\r\n\r\n`), Buffer.alloc(5 * megabyte)]));
			}
		}, isGivenUp: true,
	},
};

// Guards against a host that exceeds its memory limit, and all of whose requests are lost then, because of what its callers make it hold.
it.each(Object.keys(floods))('stays within its limit and serves others with %s', async flood => {
	const {held, givenUp, port} = await start();
	const before = heldMemory();
	const {start: startFlood, isGivenUp} = floods[flood]!;
	startFlood(port);
	await expect.poll(() => isGivenUp ? givenUp.length : held.total, {timeout: 20_000}).toBeGreaterThan(0);
	await delay(500);
	expect(givenUp.length > 0).toBe(isGivenUp);
	expect(held.total).toBeLessThanOrEqual(limit);
	expect(heldMemory() - before).toBeLessThan((1 - ownShare) * memoryLimit);
	const reader = connectCaller(port);
	reader.write(get);
	let received = 0;
	while (received < answerBytes) {
		const [chunk] = await once(reader, 'data') as [Uint8Array]; // eslint-disable-line no-await-in-loop -- reads until the answer is complete
		received += chunk.length;
	}
});

// Guards against bytes that stay counted after their requests, so that peers are given up without need.
it('holds nothing for requests that have ended', async () => {
	const {held, givenUp, port, server} = await start();
	const caller = connectCaller(port);
	caller.resume();
	caller.write(get.repeat(20));
	await expect.poll(() => caller.bytesRead).toBeGreaterThan(20 * answerBytes);
	await expect.poll(() => server.active).toBe(0);
	expect(held.total).toBe(0);
	expect(givenUp).toEqual([]);
});
