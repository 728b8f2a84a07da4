import fc from 'fast-check';
import {
	afterEach, expect, it, vi,
} from 'vitest';
import {EventSplitter, type StreamProblem} from './event-splitter.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();
afterEach(() => {
	vi.restoreAllMocks();
});

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

/** Blocks of a stream: mostly events with increasing IDs, comments and blank lines; few that are not valid or long. */
const blocks = fc.array(fc.oneof(
	{weight: 12, arbitrary: fc.constantFrom('id: #\ndata: x\n\n', 'id: #\r\ndata: x\r\n\r\n', 'data: \u00E9\u20AC\nid:#\n\r\n', 'event: e\nid: #\n\n')},
	{weight: 6, arbitrary: fc.constantFrom(': c\n\n', 'retry: 5\r\n\r\n', ':\n: d\n\n', '\n', '\r\n', '\n\n', '\n\r\n')},
	{weight: 1, arbitrary: fc.constantFrom('id: 1\n\n', 'data: x\n\n', '.', '\r', 'id: #', `id: #\ndata: ${'x'.repeat(65_517)}\n\n`, `: ${'x'.repeat(40_000)}\n\n`)},
), {maxLength: 14}).map(parts => encoder.encode(parts.map((part, at) => part.replace('#', String(at + 2))).join('')));

/** Pushes the bytes in pieces of the given lengths, and the rest in one. @returns all that the splitter says of them. */
function split(bytes: Uint8Array, lengths: Iterable<number>) {
	const splitter = new EventSplitter();
	let [passedOn, lastId, count, at]: [string, number | undefined, number, number] = ['', undefined, 0, 0];
	for (const length of [...lengths, bytes.length]) {
		const batch = splitter.push(bytes.subarray(at, at + length));
		if (batch.problem) {
			return {problem: batch.problem};
		}

		at = Math.min(bytes.length, at + length);
		passedOn += new TextDecoder('latin1').decode(batch.completeEvents);
		lastId = batch.lastId ?? lastId;
		count += batch.count;
	}

	return {
		passedOn, lastId, count, held: [...splitter.held], remainder: [...splitter.remainder],
	};
}

// Guards against a stream that is valid or not, or split in another way, depending on the pieces in which its bytes arrive.
it('splits the same bytes in the same way whatever their pieces', () => {
	fc.assert(fc.property(blocks, fc.array(fc.oneof(fc.integer({min: 1, max: 9}), fc.integer({min: 1, max: 70_000})), {maxLength: 40}), (bytes, lengths) => {
		expect(split(bytes, lengths)).toEqual(split(bytes, []));
	}), {seed: 1, numRuns: 1000});
});

// Guards against an event that is taken for too long only if it arrives in small pieces.
it.each([
	{name: 'an event of 65,537 bytes', text: `id: 1\ndata: ${'x'.repeat(65_537 - 14)}\n\n`, problem: undefined},
	{name: 'an event of 65,538 bytes', text: `id: 1\ndata: ${'x'.repeat(65_538 - 14)}\n\n`, problem: 'event-too-long'},
	{name: 'comments of more than 64 KiB', text: `:${'x'.repeat(1000)}\n\n`.repeat(66), problem: 'event-too-long'},
])('finds the problem $problem in $name in pieces of any size', ({text, problem}) => {
	const bytes = encoder.encode(text);
	for (const length of [1, 64, 16_384, bytes.length]) {
		expect(split(bytes, Array.from({length: Math.floor(bytes.length / length)}).fill(length) as number[]).problem).toBe(problem);
	}
});

// Guards against one stream in small pieces that keeps a host from all other work for seconds.
it.each([
	{name: 'an event without an end', text: `id: 1\ndata: ${'x'.repeat(60_000)}`},
	{name: 'blank lines', text: '\n'.repeat(60_000)},
	{name: 'comments', text: ':\n\n'.repeat(20_000)},
	{name: 'events', text: Array.from({length: 6000}, (_, at) => `id: ${at}\n\n`).join('')},
].flatMap(stream => [1, 64, 16_384].map(pieceBytes => ({...stream, pieceBytes}))))('copies $name in pieces of $pieceBytes bytes only a few times', ({text, pieceBytes}) => {
	const bytes = encoder.encode(text);
	const splitter = new EventSplitter();
	let copied = 0;
	const {set} = Uint8Array.prototype;
	vi.spyOn(Uint8Array.prototype, 'set').mockImplementation(function (this: Uint8Array, source, offset) {
		copied += source.length;
		set.call(this, source, offset);
	});
	const problems = new Set<StreamProblem | undefined>();
	for (let at = 0; at < bytes.length; at += pieceBytes) {
		problems.add(splitter.push(bytes.subarray(at, at + pieceBytes)).problem);
	}

	expect([...problems]).toEqual([undefined]);
	expect(copied).toBeLessThan(4 * bytes.length);
});

// Guards against a server that holds a host with blank lines, each of which costs as much as an event.
it('reads blank lines without work for each', () => {
	const splitter = new EventSplitter();
	const parts = vi.spyOn(Uint8Array.prototype, 'subarray');
	expect(splitter.push(encoder.encode('\n'.repeat(60_000))).problem).toBeUndefined();
	expect(parts.mock.calls.length).toBeLessThan(100);
});
