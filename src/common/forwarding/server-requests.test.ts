import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend} from '../../testing/forwarder-fixture.js';
import {answerHead, type ScriptedAttempt} from '../../testing/scripted-port.js';
import {type AnswerHead} from './forward-request.js';
import {repetition, type Repetition} from './routing-config.js';

const servers = [testBackend('a'), testBackend('bb'), testBackend('ccc')];

function answerWith(changes: Partial<AnswerHead>) {
	return ({events}: ScriptedAttempt) => {
		events.onHead(answerHead({length: 0, ...changes}));
		events.onEnd();
	};
}

const answerGood = answerWith({});

// Guards against new work at a server that leaves, when the host learns it from an answer before the directory says so.
it.each<{name: string; kind: Repetition; head: Partial<AnswerHead>}>([
	{name: 'a success', kind: 'idempotent', head: {}},
	{name: 'the head of a stream', kind: 'stream', head: {length: undefined}},
	{name: 'a failure', kind: 'once', head: {status: 500}},
	{name: 'a refusal', kind: 'idempotent', head: {status: 503, isNotRun: true}},
	{name: 'a late answer to another request', kind: 'idempotent', head: {isForRequest: false}},
])('sends nothing to a server after $name said that it leaves', ({kind, head}) => {
	const {port, send, pool} = createForwarderFixture(kind, {}, servers);
	let leaving: string | undefined;
	port.onAttempt = attempt => {
		leaving ??= attempt.terms.serverId;
		answerWith(attempt.terms.serverId === leaving ? {...head, isLeaving: true} : {})(attempt);
	};

	send();
	const before = port.attempts.length;
	for (let count = 0; count < 20; count++) {
		send();
		pool.update(servers, 0);
	}

	expect(port.attempts.length).toBeGreaterThanOrEqual(before + 20);
	expect(port.attempts.slice(1).map(({terms}) => terms.serverId)).not.toContain(leaving);
});

// Guards against a process that gets work again because it left the directory for a moment, and against a new process that gets
// none because of what the one before has said.
it.each([
	{name: 'the same process', incarnation: 1, attempts: 0},
	{name: 'a new process', incarnation: 2, attempts: 1},
])('gives $name of a leaving server $attempts requests after it was listed again', ({incarnation, attempts}) => {
	const {port, send, pool} = createForwarderFixture('idempotent', {}, [testBackend('a')]);
	port.onAttempt = answerWith({isLeaving: true});
	send();
	pool.update([], 0);
	pool.update([testBackend('a', {incarnation})], 0);
	const before = port.attempts.length;
	send();
	expect(port.attempts.length - before).toBe(attempts);
});

// Guards against a server out of service because of an answer that another process gave at its address.
it('ignores what another process at the address of a server says', () => {
	const {port, send} = createForwarderFixture('idempotent', {}, [testBackend('a')]);
	port.onAttempt = answerWith({
		status: 421, isOtherServer: true, isLeaving: true, retryAfterSeconds: 5,
	});
	send();
	port.onAttempt = answerGood;
	expect(send().status).toBe(200);
});

const pauseSeconds = 3;
const paused: Partial<AnswerHead> = {status: 503, isNotRun: true, retryAfterSeconds: pauseSeconds};

// Guards against requests to a server within the pause that it has asked for, by a first attempt, a retry or a request that
// waits for a connection, also when the server was not listed for a moment.
it.each<{name: string; kind: Repetition; count: number}>([
	{name: 'one server of three', kind: 'idempotent', count: 1},
	{name: 'two servers of three', kind: 'stream', count: 2},
	{name: 'all servers', kind: 'idempotent', count: 3},
	{name: 'all servers of a service whose requests must not be repeated', kind: 'once', count: 3},
])('sends nothing to $name during a pause', async ({kind, count}) => {
	const {clock, port, send, pool} = createForwarderFixture(kind, {}, servers);
	const pausedServers = new Set(servers.slice(0, count).map(({id}) => id));
	const askedAt = new Map<string, number>();
	const early: string[] = [];
	port.onAttempt = attempt => {
		const {serverId} = attempt.terms;
		if (!pausedServers.has(serverId)) {
			answerGood(attempt);
			return;
		}

		if (clock.now() < (askedAt.get(serverId) ?? -Infinity) + (pauseSeconds * 1000)) {
			early.push(serverId);
		}

		askedAt.set(serverId, clock.now());
		answerWith(paused)(attempt);
	};

	for (let step = 0; step < 60; step++) {
		send();
		if (step % 10 === 5) {
			pool.update([], clock.now());
			pool.update(servers, clock.now());
		}

		await clock.advance(100); // eslint-disable-line no-await-in-loop -- one step after another
	}

	expect(early).toEqual([]);
	expect([...askedAt.keys()].sort()).toEqual([...pausedServers].sort());
});

// Guards against a shorter pause in a later answer that ends a longer one, and against a pause that is taken from a failure
// which says nothing of one.
it.each([
	{name: 'a shorter pause after a longer one', heads: [paused, {...paused, retryAfterSeconds: 0.1}], sent: 0},
	{name: 'a failure with a pause', heads: [{status: 503, retryAfterSeconds: 2}], sent: 0},
	{name: 'a success that names a time', heads: [{status: 200, retryAfterSeconds: 2}], sent: 1},
])('handles $name', async ({heads, sent}) => {
	const {clock, port, send} = createForwarderFixture('once', {}, [testBackend('a')]);
	const answers = heads.map(head => answerWith(head));
	for (const answer of answers) {
		send();
		const attempt = port.attempts.at(-1)!;
		clock.setTimer(100, () => {
			answer(attempt);
		});
	}

	await clock.advance(1000);
	const before = port.attempts.length;
	send();
	expect(port.attempts.length - before).toBe(sent);
});

// Guards against callers that wait for nothing while all servers have asked for a pause, that return before its end, and that
// return all at the same moment.
it('refuses requests at once when all servers have asked for a pause, and spreads their return', async () => {
	const {clock, port, send} = createForwarderFixture('idempotent', {}, servers);
	const pauses = new Map([['a', 4], ['bb', 2], ['ccc', 6]]);
	port.onAttempt = attempt => {
		answerWith({...paused, retryAfterSeconds: pauses.get(attempt.terms.serverId)!})(attempt);
	};

	send();
	expect(port.attempts).toHaveLength(3);
	await clock.advance(500);
	const refusals = Array.from({length: 200}, () => send().refusal!);
	expect(port.attempts).toHaveLength(3);
	expect(refusals.every(({ran, status}) => ran === 'no' && status === 503)).toBe(true);
	const times = refusals.map(({retryAfterSeconds}) => retryAfterSeconds!).sort((left, right) => left - right);
	expect(times[0]).toBeGreaterThanOrEqual(1.5);
	expect(times.at(-1)).toBeLessThanOrEqual(1.5 * 2);
	for (let from = 1.5; from < 2.25; from += 0.1) {
		const together = times.filter(time => time >= from && time < from + 0.1).length;
		expect(together).toBeLessThanOrEqual(times.length / 4);
	}
});

// Guards against a request that is written to a server which has asked for a pause, announced that it leaves, or may no longer
// be used under an expired lease, while the request waited for a connection.
it.each<{name: string; change: 'pause' | 'leave' | 'lease'; status: number}>([
	{name: 'asked for a pause', change: 'pause', status: 200},
	{name: 'announced that it leaves', change: 'leave', status: 200},
	{name: 'the lease of the host expired', change: 'lease', status: 503},
])('does not write a waiting request after $name', ({change, status}) => {
	const {port, send, lease, pool} = createForwarderFixture('once', {}, [testBackend('a')]);
	send();
	const waitingSink = send();
	const waiting = port.attempts[1]!;
	pool.update(servers, 0);
	port.onAttempt = answerGood;
	if (change === 'lease') {
		lease.expiresAt = 0;
	} else {
		answerWith(change === 'pause' ? paused : {isLeaving: true})(port.attempts[0]!);
	}

	expect(waiting.events.mayStart()).toBe(false);
	waiting.events.onFailure({isUnsent: true, reason: 'withdrawn'});
	expect(waitingSink.status ?? waitingSink.refusal?.status).toBe(status);
	expect(waitingSink.refusal?.ran).toBe(change === 'lease' ? 'no' : undefined);
});

// Guards against servers in good health that are ejected because requests to them were withdrawn before they were sent.
it('does not count a withdrawn request as a failure of its server', () => {
	const {port, send, pool} = createForwarderFixture(repetition.idempotent, {}, [testBackend('a')]);
	for (let index = 0; index < 5; index++) {
		send();
		port.attempts.at(-1)!.events.onFailure({isUnsent: true, reason: 'withdrawn'});
	}

	expect(pool.openServers('s')[0]!.health.isEjected).toBe(false);
});

// Guards against a running request that is aborted or sent again because its server is silent towards control, leaves, or asks for
// a pause meanwhile.
it.each<{name: string; change: 'unlisted' | 'draining' | 'leaving' | 'paused'}>([
	{name: 'is no longer listed', change: 'unlisted'},
	{name: 'is listed as draining', change: 'draining'},
	{name: 'announces that it leaves', change: 'leaving'},
	{name: 'asks for a pause', change: 'paused'},
])('lets a request run to its end at a server that $name', ({change}) => {
	const {port, send, pool} = createForwarderFixture('stream', {}, [testBackend('a')]);
	const sink = send();
	const attempt = port.attempts[0]!;
	attempt.events.onHead(answerHead());
	if (change === 'unlisted') {
		pool.update([], 0);
	} else if (change === 'draining') {
		pool.update([testBackend('a', {isDraining: true})], 0);
	} else {
		send();
		answerWith(change === 'leaving' ? {isLeaving: true} : paused)(port.attempts[1]!);
	}

	attempt.events.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
	attempt.events.onEnd();
	expect(sink.isEnded).toBe(true);
	expect(sink.text).toContain('id: 1');
	expect(attempt.isAborted).toBe(false);
	expect(port.attempts.length).toBe(change === 'leaving' || change === 'paused' ? 2 : 1);
});
