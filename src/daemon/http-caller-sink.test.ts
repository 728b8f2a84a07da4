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
async function read(answer: (sink: HttpCallerSink) => void): Promise<{text: string; isClosed: boolean}> {
	server = createServer((_req, res) => {
		answer(new HttpCallerSink(res, codec));
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
	let text = '';
	return new Promise(resolve => {
		let timer: NodeJS.Timeout | undefined;
		const restartTimer = () => {
			clearTimeout(timer);
			timer = setTimeout(() => {
				resolve({text, isClosed: false});
				socket.destroy();
			}, 200);
		};

		restartTimer();
		socket.on('data', chunk => {
			text += chunk.toString();
			restartTimer();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			clearTimeout(timer);
			resolve({text, isClosed: true});
		});
	});
}

// Guards against an aborted or unframed answer that callers take for a complete one.
it.each<{name: string; answer: (sink: HttpCallerSink) => void; has: RegExp; lacks: RegExp; isClosed: boolean}>([
	{
		name: 'an answer with a length', answer(sink) {
			sink.writeHead(200, ['x', 'y'], 2);
			sink.write(new TextEncoder().encode('ok'));
			sink.end();
		}, has: /content-length: 2\r\n.*\r\nok$/sv, lacks: /chunked/v, isClosed: false,
	},
	{
		name: 'a stream', answer(sink) {
			sink.writeHead(200, [], 'chunked');
			sink.write(new TextEncoder().encode('ok'));
			sink.end();
		}, has: /chunked.*\r\n0\r\n\r\n$/sv, lacks: /content-length/v, isClosed: false,
	},
	{
		name: 'an answer that ends when the connection closes', answer(sink) {
			sink.writeHead(200, [], 'until-close');
			sink.write(new TextEncoder().encode('ok'));
			sink.end();
		}, has: /connection: close\r\n.*\r\nok$/sv, lacks: /chunked|content-length/v, isClosed: true,
	},
	{
		name: 'a stream that is aborted', answer(sink) {
			sink.writeHead(200, [], 'chunked');
			sink.write(new TextEncoder().encode('ok'));
			setTimeout(() => {
				sink.destroy();
			}, 20);
		}, has: /ok/v, lacks: /\r\n0\r\n/v, isClosed: true,
	},
	{
		name: 'a refusal', answer(sink) {
			sink.refuse({
				status: 503, code: 'stopping', ran: 'no', retryAfterSeconds: 0.5,
			});
		}, has: /503 .*retry-after: 0\.5\r\n.*"ran":"no"/sv, lacks: /chunked/v, isClosed: false,
	},
])('sends $name', async ({answer, has, lacks, isClosed}) => {
	const received = await read(answer);
	expect(received.text).toMatch(has);
	expect(received.text).not.toMatch(lacks);
	expect(received.isClosed).toBe(isClosed);
});
