import {expect, it} from 'vitest';
import {SuspensionClock} from './suspension-clock.js';

type Step = {readonly steadyMs: number; readonly timeOfDayMs: number};

// Guards against a lease that outlives a suspension of the host, which the steady clock does not count.
it.each<{name: string; steps: Step[]; elapsedMs: number}>([
	{name: 'both clocks together', steps: [{steadyMs: 1000, timeOfDayMs: 1000}], elapsedMs: 1000},
	{name: 'a suspension', steps: [{steadyMs: 100, timeOfDayMs: 4100}], elapsedMs: 4100},
	{name: 'a step back', steps: [{steadyMs: 100, timeOfDayMs: -3000}], elapsedMs: 100},
	{name: 'a suspension after a step back', steps: [{steadyMs: 100, timeOfDayMs: -3000}, {steadyMs: 100, timeOfDayMs: 2100}], elapsedMs: 2200},
	{name: 'small differences', steps: [{steadyMs: 1000, timeOfDayMs: 1010}, {steadyMs: 1000, timeOfDayMs: 990}], elapsedMs: 2000},
])('counts $name', ({steps, elapsedMs}) => {
	let steady = 50;
	let timeOfDay = 1_800_000_000_000;
	const clock = new SuspensionClock(() => steady, () => timeOfDay);
	const start = clock.now();
	for (const {steadyMs, timeOfDayMs} of steps) {
		steady += steadyMs;
		timeOfDay += timeOfDayMs;
		clock.now();
	}

	expect(clock.now() - start).toBe(elapsedMs);
});
