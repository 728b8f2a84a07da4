import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {expect, it} from 'vitest';
import {createForwarderFixture} from '../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../testing/scripted-answers.js';
import {CallerServer} from './caller-server.js';

const bodies = 2;
const pieces = 1_000_000;
const maxPauseMs = 50;

/** Sends bodies in chunks of one byte, in a thread of its own. */
const sender = `
const {workerData: {port, bodies, pieces}} = require('node:worker_threads');
const net = require('node:net');
for (let body = 0; body < bodies; body++) {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => {});
	socket.write('POST /a/x HTTP/1.1\\r\\nhost: h\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n');
	let left = pieces;
	const write = () => {
		if (left > 0) {
			left -= 10000;
			socket.write('1\\r\\nx\\r\\n'.repeat(10000), write);
		} else {
			socket.write('0\\r\\n\\r\\n');
		}
	};
	write();
}
`;

// Guards against a host that answers nobody for a while because bodies arrive in very small pieces.
it('does not hold up other callers while bodies arrive in chunks of one byte', async () => {
	const {forwarder, port} = createForwarderFixture('idempotent');
	port.onAttempt = scriptedAnswers.good;
	const server = new CallerServer(forwarder, {
		decode: ({method, target, headers, body}) => ({
			id: 'q', hostname: 'h.example', path: target, key: 'key', deadlineMs: 2000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method, target, headers, body,
			},
		}),
		refusalHeaders: () => [],
	});
	server.setLimits({
		maxHeaderBytes: 1000, maxBodyBytes: 4 * pieces, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	});
	const listenPort = await server.listen({host: '127.0.0.1', port: 0});
	const worker = new Worker(sender, {eval: true, workerData: {port: listenPort, bodies, pieces}});
	try {
		await delay(100);
		const pauses = monitorEventLoopDelay({resolution: 5});
		pauses.enable();
		for (let sent = 0; sent < 20; sent++) {
			const req = request({
				host: '127.0.0.1', port: listenPort, method: 'GET', path: '/a/x', agent: false,
			}).end();
			const [res] = await once(req, 'response') as [IncomingMessage]; // eslint-disable-line no-await-in-loop -- one request after the other
			res.resume();
			expect(res.statusCode).toBe(200);
		}

		pauses.disable();
		expect(pauses.max / 1e6).toBeLessThan(maxPauseMs);
	} finally {
		await worker.terminate();
		server.dispose();
	}
});
