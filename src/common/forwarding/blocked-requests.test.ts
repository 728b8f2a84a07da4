import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend} from '../../testing/forwarder-fixture.js';
import {answerHead} from '../../testing/scripted-port.js';

// Guards against requests for free servers that wait behind others whose servers are full.
it('places requests past more than eight that wait for servers of another release', async () => {
	const {clock, port, send, rollouts} = createForwarderFixture('once', {timeoutMs: 20_000}, [
		testBackend('a', {release: 'v1'}), testBackend('bb', {release: 'v2'}),
	]);
	const rollout = {
		service: 's', target: 'v2', state: 'in-progress', share: 0.5, revision: 1, holdsSessions: false,
	};
	rollouts.set('s', rollout as never);
	for (let n = 0; n < 100; n++) {
		send({id: `q${n}`, session: `s${n}`, deadlineMs: 15_000});
	}

	const answered = new Set<unknown>();
	// Only the old release's server answers, again and again; the new one hangs.
	for (let step = 0; step < 200; step++) {
		for (const attempt of port.attempts.filter(({terms}) => terms.serverId === 'a').filter(attempt => !answered.has(attempt))) {
			answered.add(attempt);
			attempt.events.onHead(answerHead({length: 0}));
			attempt.events.onEnd();
		}

		await clock.advance(10); // eslint-disable-line no-await-in-loop -- time passes step by step
	}

	expect(port.attempts.filter(({terms}) => terms.serverId === 'a').length).toBeGreaterThan(30);
});
