import {Buffer} from 'node:buffer';
import {expect, it} from 'vitest';
import {AnswerReader} from './answer-reader.js';

const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n';

// Guards against a caller that takes an incomplete answer for a complete one, or the reverse, or overlooks bytes that belong to no answer.
it.each<{title: string; text: string; isClosed?: boolean; isOld?: boolean; body: string; isComplete: boolean; isReusable?: boolean; surplus?: string; isInvalid?: boolean}>([
	{
		title: 'a length', text: 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc', body: 'abc', isComplete: true, isReusable: true,
	},
	{
		title: 'a length that closes', text: 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\nConnection: close\r\n\r\nabc', body: 'abc', isComplete: true,
	},
	{
		title: 'a length of 0', text: 'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n', body: '', isComplete: true, isReusable: true,
	},
	{
		title: 'a length that is not reached', text: 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc', isClosed: true, body: 'abc', isComplete: false,
	},
	{
		title: 'chunks', text: `${chunked}\r\n`, body: 'abcde', isComplete: true, isReusable: true,
	},
	{
		title: 'chunks with a trailer', text: `${chunked}a: b\r\n\r\n`, body: 'abcde', isComplete: true, isReusable: true,
	},
	{
		title: 'chunks without the last line', text: chunked, isClosed: true, body: 'abcde', isComplete: false,
	},
	{
		title: 'no framing, closed', text: 'HTTP/1.1 200 OK\r\n\r\nabc', isClosed: true, body: 'abc', isComplete: true,
	},
	{
		title: 'no framing, still open or reset', text: 'HTTP/1.1 200 OK\r\n\r\nabc', body: 'abc', isComplete: false,
	},
	{
		title: 'a head that is cut', text: 'HTTP/1.1 200 OK\r\nConte', isClosed: true, body: '', isComplete: false,
	},
	{
		title: 'bytes after the answer', text: 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nabc', body: 'a', isComplete: true, isReusable: true, surplus: 'bc',
	},
	{
		title: 'bytes that are no answer', text: 'garbage', isClosed: true, body: '', isComplete: false, surplus: 'garbage', isInvalid: true,
	},
	{
		title: 'chunks for HTTP/1.0', text: `${chunked}\r\n`, isOld: true, body: '', isComplete: false, surplus: chunked.split('\r\n\r\n')[1]! + '\r\n', isInvalid: true,
	},
])('reads $title, in pieces of any size', ({text, isClosed, isOld, body, isComplete, isReusable = false, surplus = '', isInvalid = false}) => {
	for (const size of [1, 2, 7, text.length]) {
		const reader = new AnswerReader(isOld);
		for (let at = 0; at < text.length; at += size) {
			reader.push(Buffer.from(text.slice(at, at + size)));
		}

		if (isClosed) {
			reader.end();
		}

		expect({
			body: reader.body, isComplete: reader.isComplete, isReusable: reader.isReusable, surplus: reader.surplus, isInvalid: reader.isInvalid,
		}).toEqual({
			body, isComplete, isReusable, surplus, isInvalid,
		});
	}
});
