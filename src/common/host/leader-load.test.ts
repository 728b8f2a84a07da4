import {expect, it} from 'vitest';
import {deflateTextCodec} from '../../node/deflate-text-codec.js';
import {judgeLeaderLoad, LeaderLoadSimulation, soundLeaderLoad} from '../../testing/leader-load-simulation.js';

// Guards against a new leader without processor time, because its work grows with hosts times changes or hosts times sessions.
it.each([
	{entryHosts: 9, servers: 9},
	{entryHosts: 73, servers: 96},
	{entryHosts: 191, servers: 300},
])('acknowledges configurations with $entryHosts hosts and $servers servers while a new leader takes over a roll-out', async size => {
	const simulation = new LeaderLoadSimulation(deflateTextCodec, size);
	await simulation.start();
	const outcome = await simulation.play();
	simulation.dispose();
	expect(judgeLeaderLoad(outcome)).toEqual(soundLeaderLoad);
});
