import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {Client} from 'undici';

/** Bytes on the socket and CPU time of one renewal over HTTP/1.1 with keep-alive. */
export interface HttpResult {
	readonly requestBytes: number;
	readonly replyBytes: number;
	/** CPU time of the whole process, client and server, in microseconds. */
	readonly cpuUs: number;
}

const renewals = 3000;

async function readAll(req: IncomingMessage): Promise<string> {
	let text = '';
	req.setEncoding('utf8');
	for await (const chunk of req) {
		text += chunk as string;
	}

	return text;
}

async function answer(req: IncomingMessage, res: ServerResponse, result: string): Promise<void> {
	const {id} = JSON.parse(await readAll(req)) as {id: number};
	const body = `{"jsonrpc":"2.0","id":${id},"result":${JSON.stringify(JSON.parse(result))}}`;
	res.writeHead(200, {'content-type': 'application/json', 'content-length': body.length});
	res.end(body);
}

/** Measures a renewal that is sent repeatedly as JSON-RPC over a loopback connection. */
export async function measureHttp(requestText: string, replyText: string): Promise<HttpResult> {
	const sockets = new Set<Socket>();
	const server = createServer((req, res) => {
		void answer(req, res, replyText);
	});
	server.on('connection', socket => sockets.add(socket));
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	const call = async (id: number) => {
		const body = JSON.stringify({
			jsonrpc: '2.0', id, method: 'control.renew', params: JSON.parse(requestText) as unknown,
		});
		const res = await client.request({
			path: '/peer', method: 'POST', headers: {'content-type': 'application/json', authorization: `Bearer ${'s'.repeat(32)}`}, body,
		});
		return res.body.json();
	};

	for (let id = 0; id < renewals / 10; id++) {
		// eslint-disable-next-line no-await-in-loop -- warm-up, one call at a time
		await call(id);
	}

	const bytes = () => [...sockets].map(socket => [socket.bytesRead, socket.bytesWritten] as const);
	const before = bytes();
	const cpu = process.cpuUsage();
	for (let id = 0; id < renewals; id++) {
		// eslint-disable-next-line no-await-in-loop -- one call at a time
		await call(id);
	}

	const {user, system} = process.cpuUsage(cpu);
	const after = bytes();
	await client.close();
	server.close();
	return {
		requestBytes: (after[0]![0] - before[0]![0]) / renewals, replyBytes: (after[0]![1] - before[0]![1]) / renewals, cpuUs: (user + system) / renewals,
	};
}
