import {expect, it} from 'vitest';
import {type SimulatedAnswer} from '../../testing/loaded-servers.js';
import {playRollout, type SimulatedRollout} from '../../testing/rollout-simulation.js';
import {serviceRolloutState, type ServiceRolloutState} from '../control/service-rollout.js';

/** Share of the requests, and requests in addition, that a bad release may receive, as specified by the users. */
const exposureShare = 0.15;
const exposureSlack = 30;
/** Time in milliseconds after the 50th bad answer from which a bad release must not receive requests, as specified by the users. */
const rollbackMs = 5000;

const half = ({random}: SimulatedAnswer) => random.next() < 0.5;
const failsOnlyAtHighLoad = (answer: SimulatedAnswer) => ({isFailed: answer.load > 0.6 && half(answer)});
const slow = (answer: SimulatedAnswer) => half(answer) ? {slowdown: 8} : {};

// Guards against a bad release that serves more requests than the exposure limit because its faults are not seen, and against a
// good one that is not completed. A release whose faults need a load that does not occur cannot be told from a good one, but the
// limit holds for it too.
it.each<{name: string; states: ServiceRolloutState[]; isBad: boolean} & Omit<SimulatedRollout, 'seed'>>([
	{
		name: 'a good release', states: [serviceRolloutState.completed], isBad: false, fault: () => ({}),
	},
	{
		name: 'a good release at a third of the load', states: [serviceRolloutState.completed], isBad: false, fault: () => ({}), rateFactor: 0.33,
	},
	{
		name: 'a good release across a leader change', states: [serviceRolloutState.completed], isBad: false, fault: () => ({}), leaderChangeAt: 14_000,
	},
	{
		name: 'a release with half of its answers slow', states: [serviceRolloutState.reverted], isBad: true, fault: slow,
	},
	{
		name: 'a slow release across a leader change', states: [serviceRolloutState.reverted], isBad: true, fault: slow, leaderChangeAt: 14_000,
	},
	{
		name: 'a release that is slow after the first event only on one route', states: [serviceRolloutState.reverted], isBad: true, fault: answer => answer.route === 'long' ? slow(answer) : {},
	},
	{
		name: 'a release that turns slow after 4 s', states: [serviceRolloutState.reverted], isBad: true, fault: answer => answer.elapsedMs > 4000 ? slow(answer) : {},
	},
	{
		name: 'a release that fails at the load of the old one', states: [serviceRolloutState.reverted], isBad: true, fault: answer => ({isFailed: answer.load > 0.15 && half(answer)}),
	},
	{
		name: 'a release that fails only at a load that does not occur', states: [serviceRolloutState.completed, serviceRolloutState.reverted], isBad: true, fault: failsOnlyAtHighLoad,
	},
])('keeps $name within the exposure limit and ends as $states', async ({states, isBad, ...rollout}) => {
	for (const seed of [1, 2, 3]) {
		const {state, exposed, all, sinceBadMs} = await playRollout({seed, ...rollout}); // eslint-disable-line no-await-in-loop -- one after another
		expect(states, `seed ${seed}`).toContain(state);
		if (isBad) {
			expect(exposed, `requests of ${all}, seed ${seed}`).toBeLessThanOrEqual((exposureShare * all) + exposureSlack);
			expect(sinceBadMs, `seed ${seed}`).toBeLessThanOrEqual(rollbackMs);
		}
	}
});

/** Request rate as a wave: the factor at a time, with its lowest value at `lowestAt`. */
function wave(lowestAt: number): (elapsedMs: number) => number {
	return elapsedMs => 1 - (0.4 * Math.cos((elapsedMs - lowestAt) * 2 * Math.PI / 11_000));
}

// Guards against a move to the new release that is planned with the request rate of a quiet moment and exceeds the exposure limit
// when the rate rises again.
it.each([17_000, 18_000, 19_000, 20_000, 21_000, 22_000])('keeps a release whose faults are not seen within the exposure limit when the rate is lowest after %i ms', async lowestAt => {
	for (const seed of [1, 2, 3, 4, 5]) {
		const {exposed, all} = await playRollout({seed, fault: failsOnlyAtHighLoad, rateAt: wave(lowestAt)}); // eslint-disable-line no-await-in-loop -- one after another
		expect(exposed, `requests of ${all}, seed ${seed}`).toBeLessThanOrEqual((exposureShare * all) + exposureSlack);
	}
});
