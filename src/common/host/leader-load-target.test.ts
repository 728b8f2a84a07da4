import {expect, it} from 'vitest';
import {deflateTextCodec} from '../../node/deflate-text-codec.js';
import {judgeLeaderLoad, LeaderLoadSimulation, soundLeaderLoad} from '../../testing/leader-load-simulation.js';

// Guards against a new leader without processor time at the target size.
it.each([
	{entryHosts: 370, servers: 690},
])('acknowledges configurations with $entryHosts hosts and $servers servers while a new leader takes over a roll-out', async size => {
	const simulation = new LeaderLoadSimulation(deflateTextCodec, size);
	await simulation.start();
	const outcome = await simulation.play();
	simulation.dispose();
	expect(judgeLeaderLoad(outcome)).toEqual(soundLeaderLoad);
});
