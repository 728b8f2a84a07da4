import {expect, it} from 'vitest';
import {AdaptiveLimit} from './adaptive-limit.js';

/** Simulates servers whose wait grows by 20 ms for each request above the capacity, with requests always queued. @returns limits of the last 100 rounds. */
function simulate(limit: AdaptiveLimit, capacity: (round: number) => number, rounds = 300): number[] {
	const limits: number[] = [];
	for (let round = 0; round < rounds; round++) {
		limit.recordSaturation();
		limit.observe(Math.max(0, limit.current - capacity(round)) * 20, (round + 1) * 500);
		limits.push(limit.current);
	}

	return limits.slice(-100);
}

// Guards against a limit that does not reach the capacity or oscillates around it, which reduces goodput.
it.each([
	['below the number of slots', 100, 60],
	['above half of the slots', 100, 95],
	['far below the number of slots', 400, 20],
])('converges slightly above a capacity %s', (_, slots, capacity) => {
	const limits = simulate(new AdaptiveLimit(slots), () => capacity);
	expect(Math.min(...limits)).toBeGreaterThanOrEqual(capacity);
	expect(Math.max(...limits)).toBeLessThanOrEqual(capacity + 15);
});

// Guards against a limit that does not adapt to a loss of capacity or its recovery.
it('adapts to a change of capacity', () => {
	const limits = simulate(new AdaptiveLimit(100), round => round >= 100 && round < 150 ? 30 : 80);
	expect(Math.min(...limits)).toBeGreaterThanOrEqual(80);
	const lost = simulate(new AdaptiveLimit(100), round => round < 200 ? 80 : 30);
	expect(lost.at(-1)).toBeLessThanOrEqual(45);
});

// Guards against growth while no requests are queued, and against a limit that ignores a loss of servers until the next observation.
it('stays within its bounds', () => {
	const limit = new AdaptiveLimit(100);
	for (let round = 1; round < 100; round++) {
		limit.observe(0, round * 500);
	}

	expect(limit.current).toBe(50);
	limit.setSlots(10);
	expect(limit.current).toBe(5);
	for (let round = 100; round < 300; round++) {
		limit.recordSaturation();
		limit.observe(0, round * 500);
	}

	expect(limit.current).toBe(15);
	limit.setSlots(0);
	expect(limit.current).toBe(1);
});
