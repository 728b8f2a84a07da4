import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {type Clock} from '../common/base/clock.js';
import {TcpProxy} from './tcp-proxy.js';

// Guards against a proxy that turns a reset into a regular end, or the reverse, which completes or breaks answers that end with their connection.
it.each([
	{end: 'regular', isWhole: true},
	{end: 'reset', isWhole: false},
])('passes on a $end end that comes with the last bytes', async ({end, isWhole}) => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('answer', () => {
				if (end === 'reset') {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			});
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const proxy = new TcpProxy({host: '127.0.0.2', port}, {host: '127.0.0.1', port}, {} as Clock);
	await proxy.start();
	for (let count = 0; count < 50; count++) {
		const socket = connect(port, '127.0.0.2');
		let isEnded = false;
		socket.on('end', () => {
			isEnded = socket.remoteAddress !== undefined;
		}).on('error', () => undefined).resume().write('request');
		await once(socket, 'close'); // eslint-disable-line no-await-in-loop -- one connection after the other
		expect(isEnded).toBe(isWhole);
	}

	proxy.close();
	server.close();
});
