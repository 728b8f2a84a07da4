import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {endlessAnswers} from '../testing/endless-servers.js';
import {AnswerOverheadError, AnswerScanner} from './answer-scanner.js';

const maxBytes = 64 * 1024;
const readBytes = 16 * 1024;
const {'chunks of one byte': validAnswer, ...invalidAnswers} = endlessAnswers;

// Guards against bytes that can be no part of an answer and that are accepted without a limit.
it.each(Object.entries(invalidAnswers))('gives up %s without an end', (_name, [beginning, repeated]) => {
	const scanner = new AnswerScanner();
	scanner.begin('GET');
	let bytes = 0;
	expect(() => {
		for (let part: string = beginning; bytes <= maxBytes; part = repeated) {
			for (let at = 0; at < part.length; at += readBytes) {
				const read = Buffer.from(part.slice(at, at + readBytes));
				scanner.follow(read, Infinity);
				bytes += read.length;
			}
		}
	}).toThrow(AnswerOverheadError);
	expect(bytes).toBeLessThanOrEqual(maxBytes);
});

it('accepts chunks of one byte and stops before the chunk that exceeds the limit', () => {
	const scanner = new AnswerScanner();
	scanner.begin('GET');
	const [head, chunks] = validAnswer;
	expect(scanner.follow(Buffer.from(head + chunks), 3)).toEqual({bytes: head.length + (3 * '1\r\nx\r\n'.length), units: 3});
});

// Guards against a long sound answer that is given up because each of its chunks has an extension, such as a signature.
it('accepts extensions that are smaller than their chunks, however many', () => {
	const scanner = new AnswerScanner();
	scanner.begin('GET');
	const data = 'x'.repeat(200);
	const bytes = Buffer.from(validAnswer[0] + `${data.length.toString(16)};chunk-signature=${'a'.repeat(64)}\r\n${data}\r\n`.repeat(2000));
	expect(scanner.follow(bytes, Infinity).bytes).toBe(bytes.length);
});

// Guards against chunks of one byte that carry large extensions without an end.
it('gives up extensions that are larger than their chunks', () => {
	const scanner = new AnswerScanner();
	scanner.begin('GET');
	const chunk = `1;a=${'b'.repeat(1000)}\r\nx\r\n`;
	expect(() => scanner.follow(Buffer.from(validAnswer[0] + chunk.repeat(40)), Infinity)).toThrow(AnswerOverheadError);
});

const filler = 'x'.repeat(40_000);
/** Answers with a method, in the order of one connection. Their framing decides where the next one begins. */
const wholeAnswers = {
	length: ['GET', `HTTP/1.1 200 OK\r\ncontent-length: ${filler.length}\r\n\r\n${filler}`],
	'no body': ['GET', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'],
	'interim answer': ['GET', 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx'],
	chunks: ['POST', `HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n${filler.length.toString(16)}\r\n${filler}\r\n1;a=b\r\nx\r\n0\r\n\r\n`],
	trailers: ['GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\nA\r\n0123456789\r\n0\r\nx-a: b\r\n\r\n'],
	'answer to HEAD': ['HEAD', `HTTP/1.1 200 OK\r\ncontent-length: ${filler.length}\r\n\r\n`],
	'not modified': ['GET', `HTTP/1.1 304 Not Modified\r\ncontent-length: ${filler.length}\r\n\r\n`],
	'line ends in a body': ['GET', `HTTP/1.1 200 OK\r\ncontent-length: ${'\r\n'.repeat(30_000).length}\r\n\r\n${'\r\n'.repeat(30_000)}`],
	'large head': ['GET', `HTTP/1.1 200 OK\r\nx-a: ${'b'.repeat(15_000)}\r\ncontent-length: 0\r\n\r\n`],
} as const;

// Guards against sound answers that are given up because the scanner has lost track of their framing, however they are split.
it('follows any sequence of whole answers on one connection', () => {
	fc.assert(fc.property(fc.array(fc.constantFrom(...Object.values(wholeAnswers)), {maxLength: 8}), fc.array(fc.integer({min: 1, max: 20_000}), {minLength: 1, maxLength: 20}), (answers, sizes) => {
		const scanner = new AnswerScanner();
		let read = 0;
		for (const [method, text] of answers) {
			scanner.begin(method);
			const bytes = Buffer.from(text);
			for (let at = 0; at < bytes.length;) {
				at += scanner.follow(bytes.subarray(at, at + sizes[read++ % sizes.length]!), 1).bytes;
			}
		}

		// Whatever the method, the next bytes belong to a head.
		scanner.begin('GET');
		expect(() => scanner.follow(Buffer.from(`HTTP/1.1 200 ${filler}`), 1)).toThrow('in the head');
	}), {numRuns: 300});
});

// Guards against heads and trailers that hold memory which nothing counts, and against answers that count after their end.
it.each([
	{name: 'an idle connection', answer: '', isHeld: false},
	{name: 'a head that is not complete', answer: 'HTTP/1.1 200 OK\r\na:b\r\n', isHeld: true},
	{name: 'an interim answer', answer: 'HTTP/1.1 103 Early Hints\r\n\r\n', isHeld: true},
	{name: 'a body that is not complete', answer: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nx', isHeld: true},
	{name: 'trailers that are not complete', answer: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na:b\r\n', isHeld: true},
	{name: 'a whole answer with a length', answer: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nxx', isHeld: false},
	{name: 'a whole answer without bytes', answer: 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n', isHeld: false},
	{name: 'a whole answer without a body', answer: 'HTTP/1.1 204 No Content\r\n\r\n', isHeld: false},
	{name: 'a whole answer in chunks', answer: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n', isHeld: false},
])('counts the memory of $name: $isHeld', ({answer, isHeld}) => {
	const scanner = new AnswerScanner();
	if (answer !== '') {
		scanner.begin('GET');
	}

	scanner.follow(new TextEncoder().encode(answer), Infinity);
	expect(scanner.memory > 0).toBe(isHeld);
});
