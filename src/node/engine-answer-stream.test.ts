import {expect, it} from 'vitest';
import {EngineAnswerStream} from './engine-answer-stream.js';

const encoder = new TextEncoder();

function event(content: string): Uint8Array {
	return encoder.encode(`data: ${JSON.stringify({choices: [{delta: {content}}]})}\n\n`);
}

// Guards against answers to a slow caller that fill the memory, and against a stream that is never resumed.
it('pauses the engine while the queue is full, and resumes it when the queue has drained', async () => {
	const flow: string[] = [];
	const stream = new EngineAnswerStream(undefined, {pause: () => flow.push('pause'), resume: () => flow.push('resume')});
	for (let index = 0; index < 64; index++) {
		expect(flow).toEqual([]);
		stream.push(event(String(index)));
	}

	expect(flow).toEqual(['pause']);
	const read: unknown[] = [];
	while (read.length < 64) {
		expect(flow.includes('resume')).toBe(read.length >= 48);
		// eslint-disable-next-line no-await-in-loop -- reads the chunks in order
		const next = await stream.next();
		read.push(next.value?.delta.content);
	}

	expect(flow).toEqual(['pause', 'resume']);
	expect(read).toEqual(Array.from({length: 64}, (_, index) => String(index)));
});

const endMark = encoder.encode('data: [DONE]\n\n');

// Guards against losing chunks at the end of the stream, before an error or at a packet boundary.
it.each([
	{
		name: 'an end mark', isDone: true, isBroken: false, fails: false,
	},
	{
		name: 'a connection error', isDone: false, isBroken: true, fails: true,
	},
	{
		name: 'a connection error after the end mark', isDone: true, isBroken: true, fails: false,
	},
])('returns all chunks before $name', async ({isDone, isBroken, fails}) => {
	const stream = new EngineAnswerStream(undefined, {pause: () => undefined, resume: () => undefined});
	for (const byte of [...event('añb'), ...(isDone ? endMark : [])]) {
		stream.push(Uint8Array.of(byte));
	}

	if (isBroken) {
		stream.fail(new Error('broken'));
	}

	const first = await stream.next();
	expect(first.value?.delta).toEqual({content: 'añb'});
	await (fails ? expect(stream.next()).rejects.toThrow('broken') : expect(stream.next()).resolves.toEqual({done: true, value: undefined}));
});
