import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {SlackShare} from './slack-share.js';

const settleMs = 4000;
const holdMs = 14_000;

// Guards against shares that add up to more than the allowance while hosts come and go.
it.each([
	['a host that has just started', [[0, 4, true]], 3999, 1 / 8],
	['a host that all others know', [[0, 4, true]], 4000, 1 / 4],
	['a host that is not listed any more', [[0, 4, true], [5000, 3, false]], 6000, 0],
	['more hosts', [[0, 4, true], [5000, 8, true]], 5000, 1 / 8],
	['fewer hosts, whose earlier use counts', [[0, 4, true], [5000, 2, true]], 18_999, 1 / 4],
	['fewer hosts, whose earlier use no longer counts', [[0, 4, true], [5000, 2, true]], 19_000, 1 / 2],
] as const)('shares the allowance of %s', async (_, updates, at, expected) => {
	const clock = new ManualClock();
	const startedAt = clock.now();
	const share = new SlackShare(clock, settleMs, holdMs);
	for (const [time, hosts, isListed] of updates) {
		await clock.advance(startedAt + time - clock.now()); // eslint-disable-line no-await-in-loop -- the updates follow each other
		share.update(hosts, isListed);
	}

	await clock.advance(startedAt + at - clock.now());
	expect(share.value).toBe(expected);
});
