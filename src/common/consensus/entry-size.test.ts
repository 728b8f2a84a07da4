import fc from 'fast-check';
import {expect, it} from 'vitest';
import {entrySize} from './entry-size.js';

// Guards against batches or retained entries that exceed their size limits by far.
it('is at least half the size of the JSON text', () => {
	fc.assert(fc.property(fc.jsonValue(), command => {
		const entry = {index: 123_456, term: 12, command};
		// A character that JSON escapes counts once.
		const text = JSON.stringify(entry).replaceAll(/\\u[\da-f]{4}|\\./gv, 'x');
		expect(entrySize(entry) * 2).toBeGreaterThanOrEqual(text.length);
		expect(entrySize(entry)).toBeLessThan((text.length * 5) + 100);
	}), {seed: 1});
});
