import fc from 'fast-check';
import {expect, it} from 'vitest';
import {ByteBuffer} from './byte-buffer.js';

const totalBytes = 1024 * 1024;

// Guards against a host that runs out of memory because bytes arrive in many small pieces.
it.each([1, 64, 16_384])('takes memory by the bytes when pieces have %i bytes', pieceBytes => {
	const buffer = new ByteBuffer();
	// As pieces of a socket do, the pieces share the memory of one read.
	const read = new Uint8Array(64 * 1024).map((_, at) => at % 251);
	let blocks = 0;
	for (let at = 0; at < totalBytes; at += pieceBytes) {
		const from = at % read.length;
		buffer.push(read.subarray(from, from + pieceBytes));
		blocks = Math.max(blocks, at % 65_536 === 0 ? buffer.blocks.length : 0);
		if (at % 65_536 === 0) {
			expect(buffer.capacity).toBeLessThanOrEqual(Math.max(256, 2 * buffer.length));
		}
	}

	expect(buffer.length).toBe(totalBytes);
	expect(blocks).toBeLessThan(32);
	const taken = buffer.take();
	expect(taken).toHaveLength(totalBytes);
	expect(taken.every((byte, at) => byte === read[at % read.length])).toBe(true);
	expect([buffer.length, buffer.capacity, buffer.blocks]).toEqual([0, 0, []]);
});

// Guards against bytes that are lost, doubled or out of order at the edges of blocks.
it('returns the bytes of any pieces in their order', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 700}), {maxLength: 40}), pieces => {
		const buffer = new ByteBuffer();
		const expected: number[] = [];
		for (const piece of pieces) {
			buffer.push(piece);
			expected.push(...piece);
		}

		expect(buffer.length).toBe(expected.length);
		expect(buffer.blocks.flatMap(block => [...block])).toEqual(expected);
		expect([...buffer.take()]).toEqual(expected);
	}), {seed: 1});
});

// Guards against a small piece that keeps the memory of a whole read in use, and against a copy of a large one.
it.each([
	{name: 'copies', length: 100, isSame: false},
	{name: 'keeps', length: 40_000, isSame: true},
])('$name a piece of $length bytes of a read of 65,536', ({length, isSame}) => {
	const buffer = new ByteBuffer();
	const piece = new Uint8Array(65_536).subarray(0, length);
	buffer.push(piece);
	expect(buffer.take().buffer === piece.buffer).toBe(isSame);
});
