import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {Waiters} from './waiters.js';

// Guards against a wake that holds up everything else in the process, and against calls that it leaves waiting.
it('resolves many calls in slices, and all of them', async () => {
	const clock = new ManualClock();
	const waiters = new Waiters(clock);
	let resolved = 0;
	let resolvedBefore = 0;
	const wait = async () => {
		await waiters.wait(10_000);
		resolved++;
	};

	const waiting = Array.from({length: 50}, async () => wait());
	waiters.wakeInSlices();
	clock.setTimer(0, () => {
		resolvedBefore = resolved;
	});
	await clock.advance(1);
	expect(resolvedBefore).toBeGreaterThan(0);
	expect(resolvedBefore).toBeLessThan(50);
	expect(resolved).toBe(50);
	await Promise.all(waiting);
	waiters.dispose();
});
