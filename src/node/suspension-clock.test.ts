import {expect, it} from 'vitest';
import {SuspensionClock} from './suspension-clock.js';

type Step = {readonly monotonicMs: number; readonly timeOfDayMs: number};

// Guards against a lease that stays valid across a suspension of the host, which the monotonic clock does not count.
it.each<{name: string; steps: Step[]; elapsedMs: number}>([
	{name: 'an equal advance of both clocks', steps: [{monotonicMs: 1000, timeOfDayMs: 1000}], elapsedMs: 1000},
	{name: 'a suspension', steps: [{monotonicMs: 100, timeOfDayMs: 4100}], elapsedMs: 4100},
	{name: 'a backward step of the time of day', steps: [{monotonicMs: 100, timeOfDayMs: -3000}], elapsedMs: 100},
	{name: 'a suspension after a backward step', steps: [{monotonicMs: 100, timeOfDayMs: -3000}, {monotonicMs: 100, timeOfDayMs: 2100}], elapsedMs: 2200},
	{name: 'small differences between the clocks', steps: [{monotonicMs: 1000, timeOfDayMs: 1010}, {monotonicMs: 1000, timeOfDayMs: 990}], elapsedMs: 2000},
])('counts $name', ({steps, elapsedMs}) => {
	let monotonic = 50;
	let timeOfDay = 1_800_000_000_000;
	const clock = new SuspensionClock(() => monotonic, () => timeOfDay);
	const start = clock.now();
	for (const {monotonicMs, timeOfDayMs} of steps) {
		monotonic += monotonicMs;
		timeOfDay += timeOfDayMs;
		clock.now();
	}

	expect(clock.now() - start).toBe(elapsedMs);
});
