import {connect} from 'node:net';

/** What a caller received on its connection. */
export interface RawAnswer {
	/** Undefined when no whole head came. */
	readonly status: number | undefined;
	readonly head: string;
	readonly body: string;
	/** Whether the caller has to take the answer for complete. */
	readonly isWhole: boolean;
}

/** Sends bytes and reads until the connection closes or, for as long as that may take, `timeoutMs` have passed. */
export async function exchange(port: number, request: string, timeoutMs: number, isHead = false): Promise<RawAnswer> {
	const socket = connect(port, '127.0.0.1');
	let bytes = '';
	let isReset = false;
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			socket.destroy();
		}, timeoutMs);
		socket.setEncoding('latin1');
		socket.on('data', (text: string) => {
			bytes += text;
			if (parseAnswer(bytes, 'open', isHead).isWhole) {
				socket.destroy();
			}
		});
		socket.on('error', () => {
			isReset = true;
		});
		let hasEnded = false;
		socket.on('end', () => {
			hasEnded = true;
		});
		socket.on('close', () => {
			clearTimeout(timer);
			resolve(parseAnswer(bytes, isReset || !hasEnded ? 'open' : 'ended', isHead));
		});
		socket.write(request, 'latin1');
	});
}

/** Parses an answer by the rules of HTTP. A connection that is `open`, or was reset, completes no answer. */
function parseAnswer(bytes: string, connection: 'open' | 'ended', isHead: boolean): RawAnswer {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: undefined, head: bytes, body: '', isWhole: false,
		};
	}

	const head = bytes.slice(0, headEnd + 4);
	const rest = bytes.slice(headEnd + 4);
	const status = Number(head.split(' ', 2)[1]);
	const length = /^content-length: *(?<length>\d+)\r$/imv.exec(head)?.groups?.length;
	if (isHead || status === 204 || status === 304) {
		return {
			status, head, body: rest, isWhole: rest === '',
		};
	}

	if (/^transfer-encoding: *chunked\r$/imv.test(head)) {
		return {status, head, ...parseChunks(rest)};
	}

	return {
		status, head, body: rest, isWhole: length === undefined ? connection === 'ended' : rest.length === Number(length),
	};
}

function parseChunks(rest: string): Pick<RawAnswer, 'body' | 'isWhole'> {
	let body = '';
	for (let at = 0; ;) {
		const lineEnd = rest.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(rest.slice(at, lineEnd), 16);
		if (Number.isNaN(size) || size === 0) {
			return {body, isWhole: size === 0 && rest.slice(lineEnd) === '\r\n\r\n'};
		}

		body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
		at = lineEnd + 2 + size + 2;
	}
}
