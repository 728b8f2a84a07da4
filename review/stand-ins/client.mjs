import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {randomBytes} from 'node:crypto';

/** Id of a new attempt of a client. */
export function newAttemptId() {
	return randomBytes(8).toString('hex');
}

/** Text of a request. */
export function requestText({method = 'GET', target, host, id, headers = {}, body = ''}) {
	const lines = [`${method} ${target} HTTP/1.1`, `Host: ${host}`, `X-Attempt-Id: ${id}`];
	for (const [name, value] of Object.entries(headers)) {
		lines.push(`${name}: ${value}`);
	}

	if (method !== 'GET') {
		lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
	}

	return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/**
Sends one request on a connection of its own and reads until the answer is complete or the connection ends.

The result says how the answer ended: `complete` by its framing (all bytes of its length, the last chunk, or, without both, the
regular end of the connection), `cut` when the connection ended before that, `reset`, or `timeout`.
*/
export async function send(address, text, timeoutMs) {
	return new Promise(resolve => {
		const [host, port] = address.split(':');
		const socket = connect({host, port: Number(port)});
		let bytes = Buffer.alloc(0);
		const finish = ending => {
			clearTimeout(timer);
			const answer = parseAnswer(bytes);
			resolve({...answer, ending: ending === 'closed' ? (answer.isComplete || answer.framing === 'until-close' ? 'complete' : 'cut') : ending});
			socket.destroy();
		};

		const timer = setTimeout(() => {
			finish('timeout');
		}, timeoutMs);
		socket.on('data', chunk => {
			bytes = Buffer.concat([bytes, chunk]);
			if (parseAnswer(bytes).isComplete) {
				finish('complete');
			}
		});
		socket.on('end', () => {
			finish('closed');
		});
		socket.on('error', () => {
			finish('reset');
		});
		socket.write(text);
	});
}

/** Parses the bytes of an answer as far as they have arrived. `isComplete` is false as long as only the end of the connection can complete it. */
export function parseAnswer(bytes) {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: undefined, headers: {}, body: '', framing: 'none', isComplete: false,
		};
	}

	const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const status = Number(statusLine.split(' ')[1]);
	const rest = bytes.subarray(headEnd + 4);
	if (headers['transfer-encoding'] === 'chunked') {
		return {
			status, headers, framing: 'chunked', ...parseChunks(rest),
		};
	}

	if (headers['content-length'] !== undefined) {
		const length = Number(headers['content-length']);
		return {
			status, headers, framing: 'length', body: rest.subarray(0, length).toString('utf8'), isComplete: rest.length >= length,
		};
	}

	return {
		status, headers, framing: 'until-close', body: rest.toString('utf8'), isComplete: false,
	};
}

function parseChunks(bytes) {
	const parts = [];
	for (let at = 0; ;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return {body: String(Buffer.concat(parts)), isComplete: false};
		}

		const size = Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
		const start = lineEnd + 2;
		if (size === 0) {
			return {body: String(Buffer.concat(parts)), isComplete: true};
		}

		parts.push(bytes.subarray(start, Math.min(start + size, bytes.length)));
		if (bytes.length < start + size + 2) {
			return {body: String(Buffer.concat(parts)), isComplete: false};
		}

		at = start + size + 2;
	}
}

/** Ids of the complete events of a stream. */
export function eventIds(body) {
	return body.split('\n\n').slice(0, -1).map(block => Number(/^id: (?<id>\d+)$/mv.exec(block)?.groups.id));
}
