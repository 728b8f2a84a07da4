import {expect, it} from 'vitest';
import {type Clock} from '../base/clock.js';
import {PeriodicSweep} from './periodic-sweep.js';

// Guards against hosts that expire because the leader itself was stalled and has not read their renewals yet.
it('passes the time of the last stall to the callback', () => {
	let now = 0;
	let callback: () => void = () => undefined;
	const clock: Clock = {
		now: () => now,
		wallTime: () => now,
		setTimer(_delay, next) {
			callback = next;
			return {dispose: () => undefined};
		},
	};
	const stalls: number[] = [];
	const sweep = new PeriodicSweep(clock, 250, stalledAt => stalls.push(stalledAt));
	for (const at of [250, 505, 5000, 5250]) {
		now = at;
		callback();
	}

	expect(stalls).toEqual([Number.NEGATIVE_INFINITY, Number.NEGATIVE_INFINITY, 5000, 5000]);
	sweep.dispose();
});
