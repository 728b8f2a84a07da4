import {expect, it} from 'vitest';
import {PeerCallError, PeerTimeoutError, PeerUnreachableError} from '../base/peer-errors.js';
import {peerMethod} from '../base/peer-method.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {SeededRandom} from '../base/seeded-random.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {LeaderClient} from './leader-client.js';

const method = peerMethod<Record<string, never>, string>('test.method');

/** Transport to peers of which only the leader answers; the others name the leader. */
function transportTo(leader: string, calledPeers: string[]): PeerTransport {
	return {
		self: 'entry',
		async call(peer: string) {
			calledPeers.push(peer);
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
	const calledPeers: string[] = [];
	const client = new LeaderClient(transportTo(leader, calledPeers), () => voters, new ManualClock(), new SeededRandom(1));
	for (let attempt = 0; attempt < 2 && client.failures === attempt; attempt++) {
		await client.attempt(method, {}, 100).catch(() => undefined); // eslint-disable-line no-await-in-loop, promise/prefer-await-to-then -- attempts follow each other
	}

	await expect(client.attempt(method, {}, 100)).resolves.toBe(leader);
	expect(client.failures).toBe(0);
});

// Guards against a new leader that is found late because each hint is followed by a long backoff, and against a busy loop while voters name each other.
it('follows the first hint after a short backoff, but backs off longer after consecutive hints', async () => {
	const leaders: Record<string, string> = {a: 'b', b: 'c', c: 'a'};
	const transport: PeerTransport = {
		self: 'entry',
		async call(peer: string) {
			throw new PeerCallError('not the leader', 'not-leader', {leader: leaders[peer]});
		},
		handle: () => ({dispose: () => undefined}),
	};
	const client = new LeaderClient(transport, () => ['a', 'b', 'c'], new ManualClock(), new SeededRandom(1));
	const backoffs: number[] = [];
	for (let attempt = 0; attempt < 6; attempt++) {
		await client.attempt(method, {}, 100).catch(() => undefined); // eslint-disable-line no-await-in-loop, promise/prefer-await-to-then -- attempts follow each other
		backoffs.push(client.backoffMs);
	}

	expect(backoffs[0]).toBe(10);
	expect(backoffs[5]).toBeGreaterThanOrEqual(100);
});

// Guards against a control host whose first read after a change of the leader goes to the earlier leader, although its own log names the new one.
it.each([
	{name: 'the leader changes while the client is idle', leaders: ['a', 'b'], calls: [['a'], ['b']]},
	{name: 'the log knows no leader for a time', leaders: ['a', undefined, 'c'], calls: [['a'], ['a'], ['c']]},
	{name: 'the same host leads again', leaders: ['a', undefined, 'a'], calls: [['a'], ['a'], ['a']]},
])('asks the leader that the log names when $name', async ({leaders, calls}) => {
	let leader: string | undefined;
	let calledPeers: string[] = [];
	const transport: PeerTransport = {
		self: 'b',
		async call(peer: string) {
			calledPeers.push(peer);
			return peer as never;
		},
		handle: () => ({dispose: () => undefined}),
	};
	const client = new LeaderClient(transport, () => ['a', 'b', 'c'], new ManualClock(), new SeededRandom(2), () => leader);
	for (const [index, expected] of calls.entries()) {
		leader = leaders[index];
		calledPeers = [];
		await client.request(method, {}, {attemptMs: 400, deadlineMs: 800}); // eslint-disable-line no-await-in-loop -- requests follow each other
		expect(calledPeers).toEqual(expected);
	}
});

// Guards against attempts that return to a host that stands still while others may lead.
it('does not return to a host that has let a call time out while there are others', async () => {
	const calledPeers: string[] = [];
	const transport: PeerTransport = {
		self: 'entry',
		async call(peer: string) {
			calledPeers.push(peer);
			throw peer === 'a' ? new PeerTimeoutError('no reply') : new PeerUnreachableError('no connection');
		},
		handle: () => ({dispose: () => undefined}),
	};
	const client = new LeaderClient(transport, () => ['a', 'b', 'c'], new ManualClock(), new SeededRandom(1));
	for (let attempt = 0; attempt < 12; attempt++) {
		await client.attempt(method, {}, 100).catch(() => undefined); // eslint-disable-line no-await-in-loop, promise/prefer-await-to-then -- attempts follow each other
	}

	expect(calledPeers.filter(peer => peer === 'a')).toHaveLength(1);
	expect(new Set(calledPeers)).toEqual(new Set(['a', 'b', 'c']));
});
