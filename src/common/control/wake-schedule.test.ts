import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {WakeSchedule} from './wake-schedule.js';

// Guards against a renewal of each host for each change, and against changes that nobody hears of.
it.each([
	{requests: [0], wakes: [0]},
	{requests: [0, 10, 20, 90], wakes: [0, 100]},
	{requests: [0, 10, 120], wakes: [0, 100, 200]},
	{requests: [0, 300, 310], wakes: [0, 300, 400]},
])('passes changes at $requests on at $wakes', async ({requests, wakes}) => {
	const clock = new ManualClock();
	const startedAt = clock.now();
	const seen: number[] = [];
	const schedule = new WakeSchedule(clock, () => 100, () => {
		seen.push(clock.now() - startedAt);
	});
	for (const at of requests) {
		await clock.advance(startedAt + at - clock.now()); // eslint-disable-line no-await-in-loop -- in order of time
		schedule.request();
	}

	await clock.advance(1000);
	expect(seen).toEqual(wakes);
	expect(schedule.isPending).toBe(false);
	schedule.dispose();
});
