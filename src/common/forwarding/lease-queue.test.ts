import {expect, it} from 'vitest';
import {forwardWorld} from '../../testing/forward-world.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';

// Guards against callers who are sent away just before the lease comes, and against requests that are held although none comes.
it.each<{name: string; lapse?: number; sentAt: number; deadlineMs?: number; leaseAt?: number; answeredAt: number; status: number}>([
	{
		name: 'waits for the first lease', sentAt: 500, leaseAt: 1200, answeredAt: 1200, status: 200,
	},
	{
		name: 'is refused when the first lease does not come', sentAt: 500, answeredAt: 1800, status: 503,
	},
	{
		name: 'is refused at once when its deadline is too near', sentAt: 500, deadlineMs: 900, leaseAt: 1200, answeredAt: 500, status: 503,
	},
	{
		name: 'is refused at once when no lease is expected', sentAt: 2000, leaseAt: 2100, answeredAt: 2000, status: 503,
	},
	{
		name: 'waits for a lease that has just lapsed', lapse: 5000, sentAt: 6000, leaseAt: 6100, answeredAt: 6100, status: 200,
	},
	{
		name: 'is refused when the lapsed lease does not come back', lapse: 5000, sentAt: 6000, answeredAt: 6400, status: 503,
	},
])('a request without a lease $name', async ({lapse, sentAt, deadlineMs = 8000, leaseAt, answeredAt, status}) => {
	const {clock, port, send, lease, forwarder} = forwardWorld('idempotent');
	port.onAttempt = scriptedAnswers.good;
	lease.expiresAt = lapse ?? 0;
	if (lapse !== undefined) {
		forwarder.open();
	}

	await clock.advance(sentAt);
	const sink = send({deadlineMs});
	const outcome = () => sink.status ?? sink.refusal?.status;
	await clock.advance(Math.max(0, answeredAt - sentAt - 1));
	expect(outcome()).toBe(answeredAt === sentAt ? status : undefined);
	if (leaseAt !== undefined) {
		await clock.advance(leaseAt - clock.now());
		lease.expiresAt = 20_000;
		forwarder.open();
	}

	await clock.advance(1);
	expect(outcome()).toBe(status);
	expect(port.attempts).toHaveLength(status === 200 ? 1 : 0);
	expect(forwarder.active).toBe(0);
});

// Guards against time that is counted twice: what a request has waited is not left for its engine, nor beyond the limit of its route.
it('counts the wait for a lease against the deadline', async () => {
	const {clock, port, send, lease, forwarder} = forwardWorld('idempotent', {timeoutMs: 5000});
	lease.expiresAt = 0;
	send({deadlineMs: 4500});
	await clock.advance(1000);
	lease.expiresAt = 20_000;
	forwarder.open();
	expect(port.attempts[0]!.terms.remainingMs).toBe(3500);
});

// Guards against work for callers who have left while they waited.
it('drops a waiting request when its caller leaves', async () => {
	const {clock, port, send, lease, forwarder} = forwardWorld('idempotent');
	lease.expiresAt = 0;
	const sink = send({deadlineMs: 8000});
	sink.onGone?.();
	await clock.advance(1000);
	lease.expiresAt = 20_000;
	forwarder.open();
	expect(port.attempts).toHaveLength(0);
	expect(forwarder.active).toBe(0);
});
