import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {type CallerCodec} from './caller-codec.js';
import {HttpCallerSink} from './http-caller-sink.js';

const codec: CallerCodec = {
	decode() {
		throw new Error('not used');
	},
	refusalHeaders: ({retryAfterSeconds}) => ['retry-after', String(retryAfterSeconds)],
};

let server: Server | undefined;

afterEach(() => {
	server?.closeAllConnections();
	server?.close();
});

/** Reads a response until the connection closes or nothing arrives for 200 ms. */
async function read(answer: (sink: HttpCallerSink) => void, version: string): Promise<{text: string; end: 'open' | 'closed' | 'reset'}> {
	server = createServer((_req, res) => {
		answer(new HttpCallerSink(res, codec));
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.write(`GET / HTTP/${version}\r\nhost: h\r\n\r\n`);
	let text = '';
	return new Promise(resolve => {
		let timer: NodeJS.Timeout | undefined;
		const restartTimer = () => {
			clearTimeout(timer);
			timer = setTimeout(() => {
				resolve({text, end: 'open'});
				socket.destroy();
			}, 200);
		};

		restartTimer();
		socket.on('data', chunk => {
			text += chunk.toString();
			restartTimer();
		});
		let isReset = false;
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			clearTimeout(timer);
			resolve({text, end: isReset ? 'reset' : 'closed'});
		});
	});
}

// Guards against an aborted or unframed answer that callers take for a complete one.
it.each<{name: string; answer: (sink: HttpCallerSink) => void; version?: string; has: RegExp; lacks: RegExp; end: 'open' | 'closed' | 'reset'}>([
	{
		name: 'an answer with a length', answer(sink) {
			sink.writeHead(200, ['x', 'y'], 2);
			sink.write(new TextEncoder().encode('ok'));
			sink.end();
		}, has: /content-length: 2\r\n.*\r\nok$/sv, lacks: /chunked/v, end: 'open',
	},
	{
		name: 'a stream', answer(sink) {
			sink.writeHead(200, [], undefined);
			sink.write(new TextEncoder().encode('ok'));
			sink.end();
		}, has: /chunked.*\r\n0\r\n\r\n$/sv, lacks: /content-length/v, end: 'open',
	},
	{
		name: 'a stream to a caller without chunks', version: '1.0', answer(sink) {
			sink.writeHead(200, [], undefined);
			sink.write(new TextEncoder().encode('ok'));
			sink.end();
		}, has: /connection: close\r\n.*\r\nok$/siv, lacks: /chunked|content-length/v, end: 'closed',
	},
	{
		name: 'a stream that is aborted', answer(sink) {
			sink.writeHead(200, [], undefined);
			sink.write(new TextEncoder().encode('ok'));
			setTimeout(() => {
				sink.break();
			}, 20);
		}, has: /ok/v, lacks: /\r\n0\r\n/v, end: 'closed',
	},
	{
		name: 'a stream that is aborted to a caller without chunks', version: '1.0', answer(sink) {
			sink.writeHead(200, [], undefined);
			sink.write(new TextEncoder().encode('ok'));
			setTimeout(() => {
				sink.break();
			}, 20);
		}, has: /ok$/v, lacks: /chunked|content-length/v, end: 'reset',
	},
	{
		name: 'a refusal', answer(sink) {
			sink.refuse({
				status: 503, code: 'stopping', ran: 'no', retryAfterSeconds: 0.5,
			});
		}, has: /503 .*retry-after: 0\.5\r\n.*"ran":"no"/sv, lacks: /chunked/v, end: 'open',
	},
])('sends $name', async ({answer, version = '1.1', has, lacks, end}) => {
	const received = await read(answer, version);
	expect(received.text).toMatch(has);
	expect(received.text).not.toMatch(lacks);
	expect(received.end).toBe(end);
});
