import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {CallerConnections} from './caller-connections.js';

const get = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

/** A server whose answers are written by the test, and a connection to it. */
async function fixture() {
	const answers: ServerResponse[] = [];
	let refused = 0;
	const server = createServer((req, res) => {
		if (connections.add(req.socket, res)) {
			answers.push(res);
		} else {
			refused++;
		}
	});
	const connections = new CallerConnections(server);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	await once(socket, 'connect');
	return {
		connections, answers, socket, refused: () => refused,
	};
}

async function untilTrue(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- until it holds
			setTimeout(resolve, 5);
		});
	}
}

// Guards against a stop that cuts an answer which has ended but waits for a caller that reads slowly.
it('delivers the whole of an answer that is read only after the close', async () => {
	const {connections, answers, socket} = await fixture();
	socket.write(get);
	await untilTrue(() => answers.length === 1);
	// More than the buffers of both sockets hold.
	const size = 32_000_000;
	answers[0]!.end('x'.repeat(size));
	connections.drain();
	connections.close();
	let received = 0;
	socket.on('data', chunk => {
		received += chunk.length;
	});
	await Promise.race([once(socket, 'close'), untilTrue(() => received > size)]);
	expect(received).toBeGreaterThan(size);
	socket.destroy();
});

// Guards against a request that is sent to a server although its answer cannot be sent any more.
it('refuses a request after an answer that closes its connection has begun', async () => {
	const {connections, answers, socket, refused} = await fixture();
	socket.write(get);
	await untilTrue(() => answers.length === 1);
	connections.drain();
	answers[0]!.write('on');
	await untilTrue(() => socket.bytesRead > 0);
	socket.write(get);
	await untilTrue(() => refused() === 1);
	answers[0]!.end('e');
	socket.resume();
	await once(socket, 'close');
	expect(answers).toHaveLength(1);
});
