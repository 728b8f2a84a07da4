import {expect, it} from 'vitest';
import {nullLogger} from '../common/base/null-logger.js';
import {ManualClock} from '../testing/manual-clock.js';
import {drainCallers} from './caller-drain.js';

const listLifetimeMs = 3000;
const graceMs = 8000;

// Guards against requests that a graceful shutdown interrupts, connections refused to callers with a cached list of entry
// hosts, and a process that waits too long and is killed.
it.each<{name: string; busyUntil: number; isLeaderUp: boolean; isDamaged?: boolean; endsBy: number}>([
	{
		name: 'nothing runs', busyUntil: 0, isLeaderUp: true, endsBy: listLifetimeMs + 100,
	},
	{
		name: 'a request runs for five seconds', busyUntil: 5000, isLeaderUp: true, endsBy: 5100,
	},
	{
		name: 'a request never ends', busyUntil: Infinity, isLeaderUp: true, endsBy: graceMs,
	},
	{
		name: 'no leader answers', busyUntil: 0, isLeaderUp: false, endsBy: listLifetimeMs + 100,
	},
	{
		name: 'its state is damaged', busyUntil: 5000, isLeaderUp: true, isDamaged: true, endsBy: 5100,
	},
])('ends in time when $name', async ({busyUntil, isLeaderUp, isDamaged, endsBy}) => {
	const clock = new ManualClock();
	const start = clock.now();
	let refusesAt: number | undefined;
	let closedAt: number | undefined;
	let endedAt: number | undefined;
	let stoppedAt: number | undefined;
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
		refuseNew() {
			refusesAt = clock.now() - start;
		},
		stop() {
			stoppedAt = clock.now() - start;
		},
		close() {
			closedAt = clock.now() - start;
		},
	};
	void (async () => {
		await drainCallers({
			follower, callers, clock, logger: nullLogger, listLifetimeMs, graceMs, isDamaged,
		});
		endedAt = clock.now() - start;
	})();

	await clock.advance(graceMs);
	expect(refusesAt).toBe(isDamaged ? 0 : undefined);
	expect(closedAt).toBeGreaterThanOrEqual(listLifetimeMs - 200);
	expect(closedAt).toBeLessThanOrEqual(listLifetimeMs);
	expect(stoppedAt).toBe(endedAt);
	expect(endedAt).toBeLessThanOrEqual(endsBy);
	expect(endedAt).toBeGreaterThanOrEqual(Math.min(busyUntil, graceMs - 200));
});
