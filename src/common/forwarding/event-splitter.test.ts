import {expect, it} from 'vitest';
import {EventSplitter} from './event-splitter.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const stream = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: thr';

// Guards against a torn or doubled event when a stream goes on at another backend server.
it.each([1, 2, 3, 5, 7, 11, 16, 17, 18, 100])('splits a stream that comes in chunks of %i bytes into whole events', size => {
	const splitter = new EventSplitter();
	let whole = '';
	let lastId: number | undefined;
	let count = 0;
	for (let at = 0; at < stream.length; at += size) {
		const batch = splitter.push(encoder.encode(stream.slice(at, at + size)));
		whole += batch.bytes ? decoder.decode(batch.bytes) : '';
		lastId = batch.lastId ?? lastId;
		count += batch.count;
	}

	expect(whole).toBe('id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
	expect(decoder.decode(splitter.rest)).toBe('id: 3\ndata: thr');
	expect({lastId, count}).toEqual({lastId: 2, count: 2});
});
