import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {endlessRequests} from '../testing/endless-callers.js';
import {requestOverheadCode, RequestOverheadError, RequestScanner} from './request-scanner.js';

const maxBytes = 128 * 1024;
const readBytes = 16 * 1024;
const invalidRequests = [
	{name: 'a request line', code: requestOverheadCode.head},
	{name: 'headers', code: requestOverheadCode.head},
	{name: 'headers without a value', code: requestOverheadCode.head},
	{name: 'blank lines', code: requestOverheadCode.head},
	{name: 'a chunk extension', code: requestOverheadCode.body},
	{name: 'chunks with extensions', code: requestOverheadCode.body},
	{name: 'zeros of a chunk size', code: requestOverheadCode.body},
	{name: 'trailers', code: requestOverheadCode.body},
	{name: 'trailers without a value', code: requestOverheadCode.body},
] as const;

// Guards against bytes that can be no part of a request and that are accepted without a limit.
it.each(invalidRequests)('gives up $name without an end', ({name, code}) => {
	const scanner = new RequestScanner();
	const [beginning, repeated] = endlessRequests[name];
	let bytes = 0;
	let error: unknown;
	try {
		for (let part: string = beginning; bytes <= maxBytes; part = repeated) {
			for (let at = 0; at < part.length; at += readBytes) {
				const read = Buffer.from(part.slice(at, at + readBytes));
				scanner.follow(read, Infinity);
				bytes += read.length;
			}
		}
	} catch (error_) {
		error = error_;
	}

	expect(error).toBeInstanceOf(RequestOverheadError);
	expect((error as RequestOverheadError).code).toBe(code);
	expect(bytes).toBeLessThanOrEqual(maxBytes);
});

const filler = 'x'.repeat(70_000);
/** Requests in the order of one connection. Their framing decides where the next one begins. */
const wholeRequests = {
	'no body': 'GET / HTTP/1.1\r\nhost: h\r\n\r\n',
	length: `POST / HTTP/1.1\r\nContent-Length: ${filler.length}\r\n\r\n${filler}`,
	'empty body': 'POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n',
	chunks: `PUT / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n${filler.length.toString(16)}\r\n${filler}\r\n1;a=b\r\nx\r\n0\r\nx-a: b\r\n\r\n`,
	'blank line before': '\r\nGET / HTTP/1.1\r\nhost: h\r\n\r\n',
	'large head': `GET / HTTP/1.1\r\nx-a: ${'b'.repeat(30_000)}\r\n\r\n`,
	'line ends in a body': `POST / HTTP/1.1\r\ncontent-length: 8000\r\n\r\n${'\r\n'.repeat(4000)}`,
} as const;

// Guards against sound requests that are given up because the scanner has lost track of their framing, however they are split.
it('follows any sequence of whole requests on one connection', () => {
	fc.assert(fc.property(fc.array(fc.constantFrom(...Object.values(wholeRequests)), {maxLength: 8}), fc.array(fc.integer({min: 1, max: 20_000}), {minLength: 1, maxLength: 20}), (requests, sizes) => {
		const scanner = new RequestScanner();
		const bytes = Buffer.from(requests.join(''));
		let read = 0;
		for (let at = 0; at < bytes.length;) {
			at += scanner.follow(bytes.subarray(at, at + sizes[read++ % sizes.length]!), 50).bytes;
		}

		// The next bytes belong to a head.
		expect(() => scanner.follow(Buffer.from(`GET /${filler}`), 50)).toThrow('in the head');
	}), {numRuns: 300});
});

// Guards against requests that are all parsed at once because they have arrived together, and against a sound caller that waits.
it('charges each request of a read but the first one', () => {
	const scanner = new RequestScanner();
	const request = wholeRequests['no body'];
	scanner.beginRead();
	expect(scanner.follow(Buffer.from(request.repeat(5)), 0)).toEqual({bytes: request.length, units: 0});
	expect(scanner.follow(Buffer.from(request.repeat(4)), 100)).toEqual({bytes: 2 * request.length, units: 100});
	scanner.beginRead();
	expect(scanner.follow(Buffer.from(request), 0)).toEqual({bytes: request.length, units: 0});
});
