import {expect, it} from 'vitest';
import {playRollout} from '../../testing/rollout-simulation.js';

/** Share of the requests, and requests in addition, that a bad release may receive, as specified by the users. */
const exposureShare = 0.15;
const exposureSlack = 30;

// Guards against a release whose faults are not seen and that exceeds the exposure limit because a burst above every earlier rate
// begins after the move to it.
it.each([1.6, 2.5])('keeps a release within the exposure limit in a burst of %f times the rate after the move', async factor => {
	for (const seed of [1, 2, 3]) {
		const {exposed, all} = await playRollout({ // eslint-disable-line no-await-in-loop -- one after another
			seed, fault: ({load, random}) => ({isFailed: load > 0.9 && random.next() < 0.5}), rateAt: elapsedMs => elapsedMs > 20_500 ? factor : 1,
		});
		expect(exposed, `requests of ${all}, seed ${seed}`).toBeLessThanOrEqual((exposureShare * all) + exposureSlack);
	}
});
