import fc from 'fast-check';
import {expect, it} from 'vitest';
import {SlidingCount} from './sliding-count.js';

const windowMs = 10_000;
const bucketMs = 250;

function agesAt(now: number, times: readonly number[]): number[] {
	return times.map(time => now - time);
}

function youngerThan(ms: number, ages: readonly number[]): number {
	return ages.filter(age => age < ms).length;
}

// Guards against events that are forgotten before, or counted long after, they leave the window.
it('bounds the number of events within the window', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 4000}), {maxLength: 60}), gaps => {
		const count = new SlidingCount(windowMs);
		const times: number[] = [];
		let now = 0;
		for (const gap of gaps) {
			now += gap;
			count.add(now);
			times.push(now);
			const ages = agesAt(now, times);
			expect(count.atMost(now)).toBeGreaterThanOrEqual(youngerThan(windowMs, ages));
			expect(count.atMost(now)).toBeLessThanOrEqual(youngerThan(windowMs + bucketMs, ages));
			expect(count.atLeast(now)).toBeLessThanOrEqual(youngerThan(windowMs, ages));
			expect(count.atLeast(now)).toBeGreaterThanOrEqual(youngerThan(windowMs - bucketMs, ages));
		}
	}));
});
