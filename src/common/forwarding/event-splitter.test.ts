import {expect, it} from 'vitest';
import {EventSplitter} from './event-splitter.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const stream = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: thr';

// Guards against a partial or duplicate event when a stream resumes at another backend server.
it.each([1, 2, 3, 5, 7, 11, 16, 17, 18, 100])('splits a stream into complete events when chunks have %i bytes', size => {
	const splitter = new EventSplitter();
	let complete = '';
	let lastId: number | undefined;
	let count = 0;
	for (let at = 0; at < stream.length; at += size) {
		const batch = splitter.push(encoder.encode(stream.slice(at, at + size)));
		complete += batch.completeEvents ? decoder.decode(batch.completeEvents) : '';
		lastId = batch.lastId ?? lastId;
		count += batch.count;
	}

	expect(complete).toBe('id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
	expect(decoder.decode(splitter.remainder)).toBe('id: 3\ndata: thr');
	expect({lastId, count}).toEqual({lastId: 2, count: 2});
});
