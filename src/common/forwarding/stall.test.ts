import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend} from '../../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {answerHead} from '../../testing/scripted-port.js';
import {type Repetition} from './routing-config.js';

const encoder = new TextEncoder();
const targetMs = 400;
const pauseMs = 600;

function createFixture(kind: Repetition) {
	return createForwarderFixture(kind, {targetLatencyMs: targetMs, targetPauseMs: kind === 'stream' ? pauseMs : 0, timeoutMs: 20_000});
}

// Guards against requests that wait until their deadline for a server that has gone silent, against a second run of a request
// that must not be repeated, and against retries at servers that are merely slow.
it.each<{name: string; kind: Repetition; waitMs: number; attempts: number}>([
	{
		name: 'an idempotent request without an answer', kind: 'idempotent', waitMs: targetMs + 1, attempts: 2,
	},
	{
		name: 'a stream without an answer', kind: 'stream', waitMs: targetMs + 1, attempts: 2,
	},
	{
		name: 'a request within its target latency', kind: 'idempotent', waitMs: targetMs - 1, attempts: 1,
	},
	{
		name: 'a request that must not be repeated', kind: 'once', waitMs: 10_000, attempts: 1,
	},
])('sends $name $attempts times', async ({kind, waitMs, attempts}) => {
	const {clock, port, send} = createFixture(kind);
	const sink = send({deadlineMs: 20_000});
	await clock.advance(waitMs);
	expect(port.attempts).toHaveLength(attempts);
	expect(port.attempts[0]!.isAborted).toBe(attempts > 1);
	scriptedAnswers.good(port.attempts.at(-1)!);
	expect(sink.status).toBe(200);
});

// Guards against streams that end at the caller's deadline because their server has gone silent in the middle, and against
// taking a pause for a fault when the caller itself does not read.
it.each([
	{name: 'the server is silent', isKeepingUp: true, attempts: 2},
	{name: 'the caller does not read', isKeepingUp: false, attempts: 1},
])('resumes a stream only when $name', async ({isKeepingUp, attempts}) => {
	const {clock, port, send} = createFixture('stream');
	const sink = send({deadlineMs: 20_000});
	sink.isKeepingUp = isKeepingUp;
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	for (let id = 1; id <= 3; id++) {
		await clock.advance(pauseMs); // eslint-disable-line no-await-in-loop -- events arrive one after the other
		events.onData(encoder.encode(`id: ${id}\ndata: x\n\n`));
	}

	expect(port.attempts).toHaveLength(1);
	await clock.advance(pauseMs * 2.2);
	expect(port.attempts).toHaveLength(attempts);
	expect(port.attempts[1]?.terms.resumeAfter).toBe(isKeepingUp ? 3 : undefined);
	expect(port.attempts[0]!.isAborted).toBe(isKeepingUp);
});

// Guards against giving up a slow answer when no other server may be asked.
it('waits on when the retry budget is exhausted', async () => {
	const {clock, port, send, budget} = createFixture('idempotent');
	while (budget.take()) {
		// Exhausts the budget.
	}

	const sink = send({deadlineMs: 20_000});
	await clock.advance(targetMs * 3);
	expect(port.attempts).toHaveLength(1);
	scriptedAnswers.good(port.attempts[0]!);
	expect(sink.status).toBe(200);
});

// Guards against slow requests and streams that are ended although no other server is left that could answer them.
it.each([
	{kind: 'idempotent', servers: 1, events: 0},
	{kind: 'idempotent', servers: 2, events: 0},
	{kind: 'stream', servers: 1, events: 0},
	{kind: 'stream', servers: 2, events: 0},
	{kind: 'stream', servers: 1, events: 2},
	{kind: 'stream', servers: 2, events: 2},
] as const)('waits for the last of $servers servers: $kind after $events events', async ({kind, servers, events: count}) => {
	const backends = Array.from({length: servers}, (_, index) => testBackend(`s${index}`));
	const {clock, port, send} = createForwarderFixture(kind, {targetLatencyMs: targetMs, targetPauseMs: kind === 'stream' ? pauseMs : 0, timeoutMs: 20_000}, backends);
	const sink = send({deadlineMs: 20_000});
	for (let id = 1; id <= count; id++) {
		if (id === 1) {
			port.attempts[0]!.events.onHead(answerHead());
		}

		port.attempts[0]!.events.onData(encoder.encode(`id: ${id}\ndata: x\n\n`));
	}

	await clock.advance(10_000);
	expect(port.attempts).toHaveLength(servers);
	const {events} = port.attempts.at(-1)!;
	if (count === 0 || servers > 1) {
		events.onHead(answerHead());
	}

	events.onData(encoder.encode(`id: ${count + 1}\ndata: x\n\n`));
	events.onEnd();
	expect({status: sink.status, isEnded: sink.isEnded}).toEqual({status: 200, isEnded: true});
});

// Guards against a stalled stream that never ends because its server sends a few bytes now and then, and against cutting a slow
// stream whose events arrive.
it.each([
	{name: 'bytes of an event that never ends', chunk: () => 'x', attempts: 2},
	{name: 'comments', chunk: () => ': alive\n\n', attempts: 2},
	{name: 'events', chunk: (id: number) => `id: ${id}\ndata: x\n\n`, attempts: 1},
])('sends a stream $attempts times when $name arrive slowly', async ({chunk, attempts}) => {
	const {clock, port, send} = createFixture('stream');
	send({deadlineMs: 20_000});
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	events.onData(encoder.encode('id: 1\ndata: x\n\n'));
	for (let id = 2; id < 15; id++) {
		await clock.advance(100); // eslint-disable-line no-await-in-loop -- chunks arrive one after the other
		events.onData(encoder.encode(chunk(id)));
	}

	expect(port.attempts).toHaveLength(attempts);
});

// Guards against a server that stays in use although it answers none of the requests that must not be repeated, and against
// ejecting one whose callers are merely impatient.
it.each([
	{name: 'is silent until the timeout', deadlineMs: 20_000, isEjected: true},
	{name: 'has less than the target latency', deadlineMs: targetMs / 2, isEjected: false},
])('ejects a server $isEjected that $name', async ({deadlineMs, isEjected}) => {
	const {clock, send, pool} = createForwarderFixture('once', {targetLatencyMs: targetMs, timeoutMs: 1000}, [testBackend('a')]);
	for (let index = 0; index < 3; index++) {
		send({deadlineMs});
	}

	await clock.advance(1001);
	expect(pool.openServers('s')[0]!.health.isEjected).toBe(isEjected);
});
