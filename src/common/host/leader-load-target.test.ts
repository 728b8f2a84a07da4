import {expect, it} from 'vitest';
import {deflateTextCodec} from '../../node/deflate-text-codec.js';
import {LeaderLoadSimulation} from '../../testing/leader-load-simulation.js';

/** Bounds of the users' sheets in milliseconds: the acknowledgement of a change, and the time until all hosts act by it. */
const ackBoundMs = 4000;
const applyBoundMs = 2000;

// Guards against a new leader without processor time at the target size.
it.each([
	{entryHosts: 370, servers: 690},
])('acknowledges configurations with $entryHosts hosts and $servers servers while a new leader takes over a roll-out', async size => {
	const simulation = new LeaderLoadSimulation(deflateTextCodec, size);
	await simulation.start();
	const {ackMs, spreadMs, lostLeases, failedAnnouncements} = await simulation.play();
	simulation.dispose();
	expect({
		ackMs: Math.max(ackBoundMs, ackMs), spreadMs: Math.max(applyBoundMs, spreadMs), lostLeases, failedAnnouncements,
	}).toEqual({
		ackMs: ackBoundMs, spreadMs: applyBoundMs, lostLeases: 0, failedAnnouncements: 0,
	});
});
