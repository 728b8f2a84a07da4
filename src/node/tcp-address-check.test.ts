import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {TcpAddressCheck} from './tcp-address-check.js';

// Guards against taking a server that goes on for an ended one.
it('tells a closed address from an open one', async () => {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const check = new TcpAddressCheck();
	expect(await check.refusesConnections(address)).toBe(false);
	expect(await check.acceptsConnections(address)).toBe(true);
	server.close();
	await once(server, 'close');
	expect(await check.refusesConnections(address)).toBe(true);
	expect(await check.acceptsConnections(address)).toBe(false);
});

// Guards against a check that rejects, which ends the process: it is made outside of any request.
it.each(['10.0.0.1:70000', '10.0.0.1:0', '256.0.0.1:80', '10.0.0.1', ''])('neither rejects nor takes the address "%s" for a closed one', async address => {
	const check = new TcpAddressCheck(200);
	expect(await check.refusesConnections(address)).toBe(false);
	expect(await check.acceptsConnections(address)).toBe(false);
});
