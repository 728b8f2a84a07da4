import {expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {ManualClock} from '../testing/manual-clock.js';
import {drainCallers} from './caller-drain.js';

const holdMs = 3000;
const graceMs = 8000;

// Guards against requests that a planned stop cuts off, callers that still hold the address and find nobody, and a
// process that is killed because it waits too long.
it.each([
	{
		name: 'nothing runs', busyUntil: 0, isLeaderUp: true, endsBy: holdMs + 100,
	},
	{
		name: 'a request runs for five seconds', busyUntil: 5000, isLeaderUp: true, endsBy: 5100,
	},
	{
		name: 'a request never ends', busyUntil: Infinity, isLeaderUp: true, endsBy: graceMs,
	},
	{
		name: 'no leader answers', busyUntil: 0, isLeaderUp: false, endsBy: holdMs + 100,
	},
])('ends in time when $name', async ({busyUntil, isLeaderUp, endsBy}) => {
	const clock = new ManualClock();
	const start = clock.now();
	let closedAt: number | undefined;
	let endedAt: number | undefined;
	const follower = {
		entry: {
			host: 'e', incarnation: 1, address: 'a', peerAddress: 'a', zone: 'z', leaving: false,
		},
		setLeaving: () => undefined,
		async propose() {
			if (!isLeaderUp) {
				throw new Error('no leader');
			}

			return {status: 'accepted' as const, revision: 1};
		},
	};
	const callers = {
		get active() {
			return clock.now() - start < busyUntil ? 1 : 0;
		},
		drain: () => undefined,
		close() {
			closedAt = clock.now() - start;
		},
	};
	void (async () => {
		await drainCallers({
			follower, callers, clock, logger: nullLogger, holdMs, graceMs,
		});
		endedAt = clock.now() - start;
	})();

	await clock.advance(graceMs);
	expect(closedAt).toBeGreaterThanOrEqual(holdMs - 200);
	expect(closedAt).toBeLessThanOrEqual(holdMs);
	expect(endedAt).toBeLessThanOrEqual(endsBy);
	expect(endedAt).toBeGreaterThanOrEqual(Math.min(busyUntil, graceMs - 200));
});
