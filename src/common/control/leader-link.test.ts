import {expect, it} from 'vitest';
import {PeerCallError} from '../base/peer-errors.js';
import {peerMethod} from '../base/peer-method.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {SeededRandom} from '../base/seeded-random.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {LeaderLink} from './leader-link.js';

const method = peerMethod<Record<string, never>, string>('test.method');

/** Peers that name the leader, which alone answers. */
function transportTo(leader: string, calls: string[]): PeerTransport {
	return {
		self: 'entry',
		async call(peer: string) {
			calls.push(peer);
			if (peer === leader) {
				return leader as never;
			}

			throw new PeerCallError('not the leader', 'not-leader', {leader});
		},
		handle: () => ({dispose: () => undefined}),
	};
}

// Guards against a daemon that knows only the seeds and never reaches a leader that became a voter later.
it.each([
	{leader: 'b', voters: ['a', 'b', 'c']},
	{leader: 'e', voters: ['a', 'b', 'c']},
])('reaches leader $leader from the voters $voters', async ({leader, voters}) => {
	const calls: string[] = [];
	const link = new LeaderLink(transportTo(leader, calls), () => voters, new ManualClock(), new SeededRandom(1));
	for (let attempt = 0; attempt < 2 && link.failures === attempt; attempt++) {
		await link.attempt(method, {}, 100).catch(() => undefined); // eslint-disable-line no-await-in-loop, promise/prefer-await-to-then -- attempts follow each other
	}

	await expect(link.attempt(method, {}, 100)).resolves.toBe(leader);
	expect(link.failures).toBe(0);
});

// Guards against a new leader that is found late because each voter that names it costs a long pause, and against a busy loop while voters name each other.
it('asks a leader that a voter names without a long pause, but only once in a row', async () => {
	const leaders: Record<string, string> = {a: 'b', b: 'c', c: 'a'};
	const transport: PeerTransport = {
		self: 'entry',
		async call(peer: string) {
			throw new PeerCallError('not the leader', 'not-leader', {leader: leaders[peer]});
		},
		handle: () => ({dispose: () => undefined}),
	};
	const link = new LeaderLink(transport, () => ['a', 'b', 'c'], new ManualClock(), new SeededRandom(1));
	const pauses: number[] = [];
	for (let attempt = 0; attempt < 6; attempt++) {
		await link.attempt(method, {}, 100).catch(() => undefined); // eslint-disable-line no-await-in-loop, promise/prefer-await-to-then -- attempts follow each other
		pauses.push(link.backoffMs);
	}

	expect(pauses[0]).toBe(10);
	expect(pauses[5]).toBeGreaterThanOrEqual(100);
});
