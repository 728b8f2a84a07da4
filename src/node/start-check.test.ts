import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Agent} from 'undici';
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {type EngineCall} from '../common/entry/engine-client.js';
import {testBackend} from '../testing/forwarder-fixture.js';
import {HttpEngineClient} from './http-engine-client.js';
import {NotStartedError, startCheck} from './start-check.js';

let server: Server;
let address: string;
let received = 0;

beforeAll(async () => {
	server = createServer((_req, res) => {
		received++;
		res.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});
afterAll(() => {
	server.closeAllConnections();
	server.close();
});

/** Bodies of a request that may be sent again. */
const bodies: Record<string, () => Uint8Array | AsyncIterable<Uint8Array> | undefined> = {
	none: () => undefined,
	buffered: () => new Uint8Array(100),
	async * streamed() {
		yield new Uint8Array(100);
	},
};

// Guards against a request that is written although it is no longer allowed, and against a body that is used up by an attempt of which nothing was written.
it.each(Object.keys(bodies))('writes nothing of a request that is no longer allowed, body: %s', async name => {
	const agent = new Agent();
	const origin = `http://${address}`;
	const send = async (mayStart: boolean) => agent.compose(startCheck(() => mayStart)).request({
		origin, path: '/', method: 'POST', body: bodies[name]!() as Uint8Array | undefined,
	});
	for (const isConnected of [false, true]) {
		/* eslint-disable no-await-in-loop -- the second request finds an open connection */
		const before = received;
		if (isConnected) {
			const {body} = await send(true);
			await body.dump();
		}

		await expect(send(false)).rejects.toBeInstanceOf(NotStartedError);
		expect(received - before).toBe(isConnected ? 1 : 0);
		/* eslint-enable no-await-in-loop */
	}

	await agent.destroy();
});

// Guards against a request that is written to an engine although it is no longer allowed.
it('writes nothing to an engine that may not get the request', async () => {
	const client = new HttpEngineClient();
	const before = received;
	const call: EngineCall = {
		attemptId: 'r.0',
		server: {...testBackend('e'), address}, ref: 'm@1', body: {model: 'm@1', messages: []}, maxTokens: 1, priority: 1, revision: 1, startWithinMs: 1000, deadlineMs: 1000, mayStart: () => false,
	};
	await expect(client.call(call, new AbortController().signal)).rejects.toMatchObject({code: 'zone-evacuated', ran: 'no'});
	expect(received).toBe(before);
	client.dispose();
});
