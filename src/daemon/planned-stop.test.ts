import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {createForwarderFixture} from '../testing/forwarder-fixture.js';
import {answerHead, type ScriptedAttempt} from '../testing/scripted-port.js';
import {type CallerCodec} from './caller-codec.js';
import {CallerServer} from './caller-server.js';

const codec: CallerCodec = {
	decode: ({method, target, headers, body}) => ({
		id: target, hostname: 'h.example', path: target, key: 'key', deadlineMs: 20_000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
			method, target, headers, body,
		},
	}),
	refusalHeaders: ({code}) => ['x-refusal', code],
};
const servers: CallerServer[] = [];

afterEach(() => {
	for (const server of servers.splice(0)) {
		server.dispose();
	}
});

/** A server whose attempts are answered by the test, and a caller's connection to it. */
async function fixture() {
	const {clock, lease, forwarder, port} = createForwarderFixture('idempotent');
	const attempts: ScriptedAttempt[] = [];
	port.onAttempt = attempt => {
		attempts.push(attempt);
	};

	await clock.advance(10_000);
	lease.currentUntil = clock.now();
	const server = new CallerServer(forwarder, codec);
	servers.push(server);
	const listenPort = await server.listen({host: '127.0.0.1', port: 0});
	const socket = connect(listenPort, '127.0.0.1');
	await once(socket, 'connect');
	return {server, attempts, socket};
}

/** Reads a connection to its end. */
async function readAll(socket: Socket): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of socket) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('latin1');
}

const get = (target: string) => `GET ${target} HTTP/1.1\r\nhost: h.example\r\n\r\n`;
const encoder = new TextEncoder();

async function untilTrue(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- until it holds
			setTimeout(resolve, 5);
		});
	}
}

function answer({events}: ScriptedAttempt, text: string): void {
	events.onHead(answerHead({length: text.length}));
	events.onData(encoder.encode(text));
	events.onEnd();
}

/** Texts of the answers in what a connection delivered, and whether the last one closes it. */
function bodies(text: string): {texts: string[]; isClosing: boolean} {
	const parts = text.split(/(?=HTTP\/1\.1 200)/v);
	return {texts: parts.map(part => part.slice(part.indexOf('\r\n\r\n') + 4)), isClosing: /\r\nconnection: close\r\n/iv.test(parts.at(-1)!)};
}

// Guards against requests that were sent to a server and whose answers a stopping host drops.
it.each<{name: string; act: (run: Awaited<ReturnType<typeof fixture>>) => Promise<void>; texts: string[]; sent: number}>([
	{
		name: 'a request that was read before the stop', async act({server, attempts, socket}) {
			socket.write(get('/a/1'));
			await untilTrue(() => attempts.length === 1);
			server.drain();
			answer(attempts[0]!, 'one');
		}, texts: ['one'], sent: 1,
	},
	{
		name: 'requests sent at once before the stop', async act({server, attempts, socket}) {
			socket.write(get('/a/1') + get('/a/2'));
			await untilTrue(() => attempts.length === 2);
			server.drain();
			answer(attempts[1]!, 'two');
			answer(attempts[0]!, 'one');
		}, texts: ['one', 'two'], sent: 2,
	},
	{
		name: 'requests sent at once around the stop', async act({server, attempts, socket}) {
			socket.write(get('/a/1'));
			await untilTrue(() => attempts.length === 1);
			server.drain();
			socket.write(get('/a/2') + get('/a/3'));
			await untilTrue(() => attempts.length === 3);
			for (const [index, text] of ['one', 'two', 'three'].entries()) {
				answer(attempts[index]!, text);
			}
		}, texts: ['one', 'two', 'three'], sent: 3,
	},
	{
		name: 'a request whose body is still read at the close', async act({server, attempts, socket}) {
			socket.write('POST /a/1 HTTP/1.1\r\nhost: h.example\r\ncontent-length: 2\r\n\r\na');
			await untilTrue(() => server.active === 1);
			server.drain();
			server.close();
			socket.write('b');
			await untilTrue(() => attempts.length === 1);
			answer(attempts[0]!, 'one');
		}, texts: ['one'], sent: 1,
	},
])('answers $name, and closes the connection after the last answer', async ({act, texts, sent}) => {
	const run = await fixture();
	const [text] = await Promise.all([readAll(run.socket), act(run)]);
	expect(bodies(text)).toEqual({texts, isClosing: true});
	expect(run.attempts).toHaveLength(sent);
	await untilTrue(() => run.server.active === 0);
});

// Guards against a stop that waits for callers which send nothing.
it.each([0, 1])('closes a connection that is idle after %i requests', async requests => {
	const {server, attempts, socket} = await fixture();
	if (requests > 0) {
		socket.write(get('/a/1'));
		await untilTrue(() => attempts.length === 1);
		answer(attempts[0]!, 'one');
		await untilTrue(() => server.active === 0);
	}

	server.drain();
	server.close();
	expect(await readAll(socket)).toMatch(requests > 0 ? /one$/v : /^$/v);
});

// Guards against a stop that waits for requests whose caller has left, and against attempts that go on without one.
it('aborts all requests of a connection that its caller resets', async () => {
	const {server, attempts, socket} = await fixture();
	socket.write(get('/a/1') + get('/a/2') + get('/a/3'));
	await untilTrue(() => attempts.length === 3);
	socket.resetAndDestroy();
	await untilTrue(() => server.active === 0);
	expect(attempts.map(({isAborted}) => isAborted)).toEqual([true, true, true]);
});
