import {once} from 'node:events';
import {
	Agent, createServer, type IncomingMessage, request, type Server,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type CallOverhead} from './bench-path.js';

/** Measures the bytes of HTTP/1.1 headers of one call with a peer secret on a keep-alive connection over the loopback interface. */
export async function measureHttpOverhead(): Promise<CallOverhead> {
	const server: Server = createServer((req, res) => {
		req.resume();
		req.once('end', () => {
			const body = '{"applied":[0]}';
			res.writeHead(200, {'content-type': 'application/json', 'content-length': body.length});
			res.end(body);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const calls = 100;
	const body = '{"a":1}';
	let socket: Socket | undefined;
	for (let call = 0; call < calls; call++) {
		const req = request({
			host: '127.0.0.1', port: (server.address() as AddressInfo).port, path: '/peer', method: 'POST', agent,
			headers: {'content-type': 'application/json', 'content-length': body.length, authorization: `Bearer ${'s'.repeat(32)}`},
		});
		req.end(body);
		// eslint-disable-next-line no-await-in-loop -- one call after another on one connection
		const [res] = await once(req, 'response') as [IncomingMessage];
		socket = res.socket;
		res.resume();
		// eslint-disable-next-line no-await-in-loop -- one call after another on one connection
		await once(res, 'end');
	}

	const bytes = ((socket!.bytesRead + socket!.bytesWritten) / calls) - body.length - '{"applied":[0]}'.length;
	agent.destroy();
	server.close();
	console.log(`HTTP headers of a call and its reply: ${bytes.toFixed(0)} bytes`);
	return {bytes};
}
