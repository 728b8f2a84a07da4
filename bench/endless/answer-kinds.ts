import {endlessAnswers} from '../../src/testing/endless-servers.js';

/** Bytes that a faulty server sends, and the request that it gets them for. */
export interface AnswerKind {
	readonly beginning: string;
	/** Repeated until the connection closes. */
	readonly repeated?: string;
	/** Events with increasing ids, in place of `repeated`, and their framing. */
	readonly events?: 'large chunks' | 'chunks of one byte' | 'none';
	readonly method?: 'GET' | 'HEAD';
	/** Whether the request is one for a stream of events. */
	readonly isStream?: boolean;
	/** Whether the caller reads a few kilobytes a second only. */
	readonly isReadSlowly?: boolean;
	/** Whether each repetition is a packet of its own. */
	readonly isUnbuffered?: boolean;
	/** Whether the bytes are an answer as they should be, only without an end. */
	readonly isValid?: boolean;
}

const filler = 'x'.repeat(16 * 1024);
const seal = 'x-backend-seal: s\r\n';
const ok = `HTTP/1.1 200 OK\r\n${seal}`;
const chunkedHead = `${ok}transfer-encoding: chunked\r\n\r\n`;
const streamHead = `${ok}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
const bodyToClose = `${ok}\r\n`;

/** Returns a chunk with the text. */
export function chunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function head(status: string): string {
	return `HTTP/1.1 ${status}\r\n${seal}\r\n`;
}

/** What faulty servers send. */
export const answerKinds: Readonly<Record<string, AnswerKind>> = {
	// Without the signature, a host gives an answer up at its head.
	...Object.fromEntries(Object.entries(endlessAnswers).map(([name, [beginning, repeated]]) => [name, {beginning: beginning.replace('200 OK\r\n', `200 OK\r\n${seal}`), repeated, isValid: name === 'chunks of one byte'}])),
	'comments of events': {
		beginning: streamHead, repeated: chunk(':\n\n'.repeat(5000)), isStream: true,
	},
	junk: {beginning: '', repeated: '\u0001\u00FFjunk'.repeat(2700)},
	'one header': {beginning: 'HTTP/1.1 200 OK\r\nx-a: ', repeated: filler},
	'100 Continue': {beginning: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(600)},
	'101 and junk': {beginning: 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n', repeated: filler},
	'a body to the close': {beginning: bodyToClose, repeated: filler, isValid: true},
	'large chunks': {beginning: chunkedHead, repeated: chunk(filler), isValid: true},
	'more than its length': {beginning: `${ok}content-length: 5\r\n\r\n`, repeated: filler},
	'a body of 9 PB': {beginning: `${ok}content-length: 9000000000000000\r\n\r\n`, repeated: filler, isValid: true},
	'further answers': {beginning: '', repeated: `${ok}content-length: 2\r\n\r\nok`.repeat(250)},
	'a body of 204': {beginning: head('204 No Content'), repeated: filler},
	'a body of 304': {beginning: head('304 Not Modified'), repeated: filler},
	events: {
		beginning: streamHead, events: 'large chunks', isStream: true, isValid: true,
	},
	'a body of 500': {beginning: head('500 Internal Server Error'), repeated: filler, isValid: true},
	'a body of 503': {beginning: head('503 Service Unavailable'), repeated: filler},
	'a body of 421': {beginning: head('421 Misdirected Request'), repeated: filler},
	'folded header lines': {beginning: 'HTTP/1.1 200 OK\r\nx-a: b\r\n', repeated: ' c\r\n'.repeat(4000)},
	'content-length headers': {beginning: 'HTTP/1.1 200 OK\r\n', repeated: 'content-length: 5\r\n'.repeat(800)},
	'header lines of one byte': {beginning: 'HTTP/1.1 200 OK\r\n', repeated: 'a\r\n'.repeat(5000)},
	'headers with LF only': {beginning: 'HTTP/1.1 200 OK\n', repeated: 'x-a: b\n'.repeat(2000)},
	'chunks with LF only': {beginning: 'HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n', repeated: '1\nx\n'.repeat(4000)},
	'a huge chunk': {beginning: `${chunkedHead}fffffffffffff\r\n`, repeated: filler, isValid: true},
	'a chunk size beyond 64 bits': {beginning: `${chunkedHead}fffffffffffffffffff\r\n`, repeated: filler},
	'interim answers and blank lines': {beginning: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n\r\n\r\n\r\n'.repeat(400)},
	'carriage returns': {beginning: '', repeated: '\r'.repeat(16 * 1024)},
	'packets of one byte to the close': {
		beginning: bodyToClose, repeated: 'x', isUnbuffered: true, isValid: true,
	},
	'events of one byte a chunk, read slowly': {
		beginning: streamHead, events: 'chunks of one byte', isStream: true, isReadSlowly: true, isValid: true,
	},
	'events of one byte a chunk': {
		beginning: streamHead, events: 'chunks of one byte', isStream: true, isValid: true,
	},
	'one large event': {
		beginning: `${streamHead}`, repeated: chunk(filler), isStream: true,
	},
	'blank lines of events': {
		beginning: streamHead, repeated: chunk('\n'.repeat(16 * 1024)), isStream: true,
	},
	'event fields of two bytes': {
		beginning: streamHead, repeated: chunk('d\n'.repeat(8 * 1024)), isStream: true,
	},
	'events to the close': {
		beginning: `${ok}content-type: text/event-stream\r\n\r\n`, events: 'none', isStream: true, isValid: true,
	},
	'a body of HEAD': {beginning: `${ok}content-length: 5\r\n\r\n`, repeated: filler, method: 'HEAD'},
	'chunks of HEAD': {beginning: chunkedHead, repeated: chunk('x').repeat(2500), method: 'HEAD'},
	'gzip without gzip': {beginning: `${ok}content-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\n`, repeated: chunk('\u001F\u008Bnonsense').repeat(1000)},
};
