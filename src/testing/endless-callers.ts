import {spawn} from 'node:child_process';
import {request} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {HeldLoopMeter} from './held-loop-meter.js';

const chunkedHead = 'POST /a/x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const requestHead = 'GET /a/x HTTP/1.1\r\nhost: h\r\n';

/** Requests without an end: a beginning, and a part that is repeated until the connection closes. */
export const endlessRequests = {
	'a request line': ['GET /', 'x'.repeat(16 * 1024)],
	headers: [requestHead, 'x-a: b\r\n'.repeat(2000)],
	'headers without a value': [requestHead, 'a:\r\n'.repeat(4000)],
	'blank lines': ['', '\r\n'.repeat(8000)],
	'small requests': ['', `${requestHead}\r\n`.repeat(500)],
	'requests that expect 100 Continue': ['', `${requestHead}expect: 100-continue\r\n\r\n`.repeat(300)],
	'chunks of one byte': [chunkedHead, '1\r\nx\r\n'.repeat(2500)],
	'a chunk extension': [`${chunkedHead}5;a=`, 'x'.repeat(16 * 1024)],
	'chunks with extensions': [chunkedHead, `1;a=${'x'.repeat(500)}\r\nx\r\n`.repeat(30)],
	'zeros of a chunk size': [chunkedHead, '0'.repeat(16 * 1024)],
	trailers: [`${chunkedHead}0\r\n`, 'x-a: b\r\n'.repeat(2000)],
	'trailers without a value': [`${chunkedHead}0\r\n`, 'a:\r\n'.repeat(4000)],
	'a body beyond its limit': ['POST /a/x HTTP/1.1\r\nhost: h\r\ncontent-length: 9000000000000000\r\n\r\n', 'x'.repeat(16 * 1024)],
	'bytes after a request': [`${requestHead}\r\n`, '\0'.repeat(16 * 1024)],
} as const;
export type EndlessRequest = keyof typeof endlessRequests;

const source = `
const net = require('node:net');
const {port, requests, connections, againMs} = JSON.parse(require('node:fs').readFileSync(0, 'utf8'));
const open = index => {
	const [beginning, repeated] = requests[index % requests.length];
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => {});
	socket.on('data', () => {});
	socket.on('close', () => setTimeout(open, againMs, index));
	const send = () => {
		if (!socket.destroyed && socket.writable) {
			socket.write(repeated, () => setImmediate(send));
		}
	};
	socket.write(beginning, send);
};
for (let index = 0; index < connections; index++) {
	open(index);
}
`;
const connections = 40;
const againMs = 1000;
const soundIntervalMs = 50;

/** Requests of sound callers. */
export interface SoundLoad {
	readonly port: number;
	readonly path: string;
	readonly durationMs: number;
	readonly deadlineMs: number;
}

/** What sound callers saw beside others. */
export interface SoundCalls {
	/** Time in milliseconds until each answer; undefined for a request that got none. */
	readonly times: ReadonlyArray<number | undefined>;
	/** Longest time in milliseconds for which the event loop was held. */
	readonly longestMs: number;
}

async function send(port: number, path: string, deadlineMs: number): Promise<number | undefined> {
	const startedAt = performance.now();
	return new Promise(resolve => {
		const req = request({
			host: '127.0.0.1', port, path, agent: false, signal: AbortSignal.timeout(deadlineMs),
		}, res => {
			res.resume();
			res.once('end', () => {
				resolve(res.statusCode === 200 ? performance.now() - startedAt : undefined);
			});
		});
		req.once('error', () => {
			resolve(undefined);
		});
		req.end();
	});
}

/** Sends sound requests at a constant rate to a server of this process, beside callers in a process of their own. */
export async function callBeside(names: readonly EndlessRequest[], {port, path, durationMs, deadlineMs}: SoundLoad): Promise<SoundCalls> {
	await send(port, path, deadlineMs);
	const child = spawn(process.execPath, ['-e', source], {stdio: ['pipe', 'inherit', 'inherit']});
	child.stdin.end(JSON.stringify({
		port, requests: names.map(name => endlessRequests[name]), connections, againMs,
	}));
	const meter = new HeldLoopMeter();
	try {
		const calls: Array<Promise<number | undefined>> = [];
		const endAt = performance.now() + durationMs;
		while (performance.now() < endAt) {
			calls.push(send(port, path, deadlineMs));
			await delay(soundIntervalMs); // eslint-disable-line no-await-in-loop -- a constant rate
		}

		return {times: await Promise.all(calls), longestMs: meter.longestMs};
	} finally {
		meter.dispose();
		child.kill('SIGKILL');
	}
}
