import {expect, it} from 'vitest';
import {
	type Burst, burstFrom, type BurstRequest, burstTo, playBurst, targetMs,
} from '../../testing/burst-simulation.js';

const seeds = [1, 2, 3, 4, 5];
/** Time in seconds after a burst until the larger models get their share again. */
const recoveryS = 3;
/** Deployments of 360 and 328 requests a second, at usual and high loads. */
const bursts: Burst[] = [
	{
		hosts: 9, perHost: 40, factor: 2.5, utilization: 0.75,
	},
	{
		hosts: 9, perHost: 40, factor: 4, utilization: 0.75,
	},
	{
		hosts: 82, perHost: 4, factor: 2.5, utilization: 0.75,
	},
	{
		hosts: 82, perHost: 4, factor: 2.5, utilization: 0.9,
	},
];

const play = (burst: Burst, followsLoad: boolean) => seeds.flatMap(seed => playBurst(burst, followsLoad, seed));
const between = (requests: BurstRequest[], from: number, to: number) => requests.filter(({second}) => second >= from && second < to);
const escalated = (requests: BurstRequest[]) => requests.filter(({isEscalated}) => isEscalated).length;
const late = (requests: BurstRequest[]) => requests.filter(({latencyMs}) => latencyMs > targetMs).length;

// Guards against larger models that stay unused after a burst, because their times were learnt under load; and against a burst
// with more late answers or more work for the largest model than without this.
it.each(bursts)('asks larger models again after a burst by $factor at $hosts hosts and a utilization of $utilization', burst => {
	const requests = play(burst, true);
	const before = between(requests, 10, burstFrom);
	const after = between(requests, burstTo + recoveryS, burstTo + recoveryS + 2);
	const ratio = (escalated(after) / after.length) / (escalated(before) / before.length);
	expect(ratio).toBeGreaterThan(0.9);
	expect(ratio).toBeLessThan(1.1);
	const burstWith = between(requests, burstFrom, burstTo);
	const burstWithout = between(play(burst, false), burstFrom, burstTo);
	expect(escalated(burstWith)).toBeLessThanOrEqual(escalated(burstWithout));
	expect(late(burstWith)).toBeLessThanOrEqual(late(burstWithout));
});
