import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {type ServiceRollout, type ServiceRolloutState} from '../control/service-rollout.js';
import {serversForRelease} from '../forwarding/servers-for-release.js';
import {ServerRecord} from '../forwarding/server-pool.js';
import {StickySessionExchange, StickySessions} from './sticky-sessions.js';

const sessionMs = 5000;

function hosts() {
	const clock = new ManualClock();
	const exchange = new StickySessionExchange(clock, sessionMs);
	const create = () => new StickySessions(clock, sessionMs, () => true);
	const all = {a: create(), b: create()};
	const renew = (host: keyof typeof all) => {
		const sender = {host, incarnation: 1};
		const sent = all[host].collect();
		if (sent) {
			exchange.receive(sender, sent);
		}

		all[host].acknowledge(1, sent, exchange.reply(sender));
	};

	return {clock, renew, ...all};
}

// Guards against a session that changes its release because its next request arrives at another host.
it('keeps a session sticky at all hosts as long as it is active', async () => {
	const {clock, renew, a, b} = hosts();
	a.recordRequest('s');
	expect(b.isSticky('s')).toBe(false);
	renew('a');
	renew('b');
	expect([a.isSticky('s'), b.isSticky('s')]).toEqual([true, true]);
	await clock.advance(sessionMs - 1);
	b.recordRequest('s');
	await clock.advance(2);
	expect([a.isSticky('s'), b.isSticky('s')]).toEqual([false, true]);
	renew('b');
	renew('a');
	expect(a.isSticky('s')).toBe(true);
	await clock.advance(sessionMs + 1);
	expect([a.isSticky('s'), b.isSticky('s')]).toEqual([false, false]);
});

function record(release: string): ServerRecord {
	return new ServerRecord({
		id: release, incarnation: 1, address: 'x', zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 1, release,
	});
}

// Guards against requests to a reverted release, and against sessions that move too early or not at all.
it.each<{state: ServiceRolloutState; share: number; isSticky: boolean; holdsSessions: boolean; release: string}>([
	{
		state: 'in-progress', share: 0, isSticky: false, holdsSessions: true, release: 'old',
	},
	{
		state: 'in-progress', share: 1, isSticky: false, holdsSessions: true, release: 'new',
	},
	{
		state: 'in-progress', share: 1, isSticky: true, holdsSessions: true, release: 'old',
	},
	{
		state: 'in-progress', share: 1, isSticky: true, holdsSessions: false, release: 'new',
	},
	{
		state: 'completed', share: 1, isSticky: true, holdsSessions: false, release: 'new',
	},
	{
		state: 'reverted', share: 0, isSticky: false, holdsSessions: false, release: 'old',
	},
])('sends a session to the $release release: $state, share $share, sticky $isSticky, holdsSessions $holdsSessions', ({state, share, isSticky, holdsSessions, release}) => {
	const rollout: ServiceRollout = {
		service: 's', target: 'new', state, share, holdsSessions, startedAt: 0, durationMs: 1000, revision: 1,
	};
	const chosen = serversForRelease(rollout, {key: 'k', isSticky}, [record('old'), record('new')], 0);
	expect(chosen.map(({server}) => server.release)).toEqual([release]);
});
