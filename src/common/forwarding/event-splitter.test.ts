import {expect, it} from 'vitest';
import {EventSplitter, type StreamProblem} from './event-splitter.js';

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

// Guards against bytes that are no events, or events that come again, and that a caller would get as an answer.
it.each<{name: string; stream: string; problem: StreamProblem | undefined; lastId: number | undefined}>([
	{
		name: 'increasing events', stream: 'id: 1\ndata: a\n\nid: 5\ndata: b\n\n', problem: undefined, lastId: 5,
	},
	{
		name: 'an event whose first line names a version', stream: 'x-weight-versions: 3\nid: 1\ndata: a\n\n', problem: undefined, lastId: 1,
	},
	{
		name: 'lines that end with a carriage return', stream: 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n', problem: undefined, lastId: 2,
	},
	{
		name: 'comments and a reconnection time', stream: ': alive\n\nretry: 500\n\n', problem: undefined, lastId: undefined,
	},
	{
		name: 'an event without an ID', stream: 'data: a\n\n', problem: 'not-an-event', lastId: undefined,
	},
	{
		name: 'blank lines only', stream: '\n\n\n\n', problem: undefined, lastId: undefined,
	},
	{
		name: 'an event that comes twice', stream: 'id: 1\ndata: a\n\nid: 1\ndata: a\n\n', problem: 'event-out-of-order', lastId: undefined,
	},
	{
		name: 'an event without an end', stream: `id: 1\ndata: ${'x'.repeat(70_000)}`, problem: 'event-too-long', lastId: undefined,
	},
])('finds the problem $problem in $name', ({stream: text, problem, lastId}) => {
	const batch = new EventSplitter().push(encoder.encode(text));
	expect(batch.problem).toBe(problem);
	expect(batch.lastId).toBe(lastId);
});

// Guards against an answer that is not passed on unchanged because it has comments, and against comments that a caller gets without
// an event.
it.each([
	{chunks: [': a\n\n', 'id: 1\ndata: x\n\n', ': b\n\n'], passedOn: ': a\n\nid: 1\ndata: x\n\n', held: ': b\n\n'},
	{chunks: [': a\n', '\nid: 1\ndata: x\n\n: b\n\n', 'id: 2\n\n'], passedOn: ': a\n\nid: 1\ndata: x\n\n: b\n\nid: 2\n\n', held: ''},
	{chunks: ['\n\n', ': a\n\n'], passedOn: '', held: '\n\n: a\n\n'},
])('passes on $passedOn of $chunks and holds $held', ({chunks, passedOn, held}) => {
	const splitter = new EventSplitter();
	const events = chunks.map(chunk => splitter.push(encoder.encode(chunk)).completeEvents);
	expect(events.map(bytes => bytes ? decoder.decode(bytes) : '').join('')).toBe(passedOn);
	expect(decoder.decode(splitter.held)).toBe(held);
});
