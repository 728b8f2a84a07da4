import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {Deadline} from './deadline.js';

// Guards against a deadline that restarts at each step, or that an earlier lease expiry does not shorten.
it('counts down and can be capped at an earlier time', async () => {
	const clock = new ManualClock();
	const deadline = Deadline.after(clock, 1000);
	await clock.advance(400);
	expect([deadline.remainingMs, deadline.allows(600), deadline.allows(601), deadline.isExpired]).toEqual([600, true, false, false]);
	expect([deadline.cappedAt(700).remainingMs, deadline.cappedAt(5000).remainingMs]).toEqual([300, 600]);
	await clock.advance(600);
	expect([deadline.remainingMs, deadline.isExpired]).toEqual([0, true]);
});
