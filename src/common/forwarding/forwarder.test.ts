import {expect, it} from 'vitest';
import {createForwarderFixture, testBackend} from '../../testing/forwarder-fixture.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {answerHead} from '../../testing/scripted-port.js';
import {type ForwardRequest} from './forward-request.js';
import {type Repetition} from './routing-config.js';

type Step = keyof typeof scriptedAnswers;

const encoder = new TextEncoder();

// Guards against requests that run twice, refusals that wrongly say whether the request has run, and answers that are broken or
// belong to another request.
it.each<{kind: Repetition; steps: Step[]; status: number; ran?: string; attempts: number}>([
	{
		kind: 'idempotent', steps: ['good'], status: 200, attempts: 1,
	},
	{
		kind: 'idempotent', steps: ['failed', 'good'], status: 200, attempts: 2,
	},
	{
		kind: 'idempotent', steps: ['failed', 'failed', 'failed'], status: 500, attempts: 3,
	},
	{
		kind: 'idempotent', steps: ['reset', 'good'], status: 200, attempts: 2,
	},
	{
		kind: 'idempotent', steps: ['short', 'good'], status: 200, attempts: 2,
	},
	{
		kind: 'idempotent', steps: ['ofAnother', 'good'], status: 200, attempts: 2,
	},
	{
		kind: 'idempotent', steps: ['unsigned', 'good'], status: 200, attempts: 2,
	},
	{
		kind: 'idempotent', steps: ['notRun', 'notRun', 'notRun'], status: 503, ran: 'no', attempts: 3,
	},
	{
		kind: 'idempotent', steps: ['reset', 'notRun', 'notRun'], status: 502, ran: 'unknown', attempts: 3,
	},
	{
		kind: 'once', steps: ['good'], status: 200, attempts: 1,
	},
	{
		kind: 'once', steps: ['failed'], status: 500, attempts: 1,
	},
	{
		kind: 'once', steps: ['reset'], status: 502, ran: 'unknown', attempts: 1,
	},
	{
		kind: 'once', steps: ['short'], status: 502, ran: 'unknown', attempts: 1,
	},
	{
		kind: 'once', steps: ['unsent', 'good'], status: 200, attempts: 2,
	},
	{
		kind: 'once', steps: ['notRun', 'otherServer', 'good'], status: 200, attempts: 3,
	},
	{
		kind: 'once', steps: ['notRun', 'reset'], status: 502, ran: 'unknown', attempts: 2,
	},
	{
		kind: 'once', steps: ['unsent', 'unsent', 'unsent'], status: 503, ran: 'no', attempts: 3,
	},
])('answers a request of the kind $kind with $status after $steps', ({kind, steps, status, ran, attempts}) => {
	const {port, send} = createForwarderFixture(kind);
	port.onAttempt = (attempt, index) => {
		scriptedAnswers[steps[index]!](attempt);
	};

	const sink = send();
	expect(sink.status ?? sink.refusal?.status).toBe(status);
	expect(sink.refusal?.ran).toBe(ran);
	expect(port.attempts).toHaveLength(attempts);
	expect(new Set(port.attempts.map(({terms}) => terms.serverId)).size).toBe(attempts);
	expect((sink.refusal?.retryAfterSeconds ?? 0) > 0).toBe(ran === 'no');
});

// Guards against forwarding under a stale configuration, and against forwarding requests that the configuration does not allow.
it.each<{name: string; req: Partial<ForwardRequest>; leaseEnd?: number; at?: number; status: number}>([
	{
		name: 'no lease', req: {}, leaseEnd: 0, at: 10_000, status: 503,
	},
	{name: 'an unknown key', req: {key: 'other'}, status: 401},
	{name: 'no key', req: {key: undefined}, status: 401},
	{name: 'an unknown path', req: {path: '/b/'}, status: 404},
	{name: 'an unknown host', req: {hostname: 'other.example'}, status: 404},
])('refuses a request with $name at once', async ({req, leaseEnd, at = 0, status}) => {
	const {clock, port, send, lease} = createForwarderFixture('idempotent');
	await clock.advance(at);
	lease.expiresAt = leaseEnd ?? lease.expiresAt;
	expect(send(req).refusal).toMatchObject({status, ran: 'no'});
	expect(port.attempts).toHaveLength(0);
});

// Guards against engines that work for disconnected callers, and callers that wait beyond the timeout of the route.
it.each<{name: string; event: 'disconnect' | 'timeout'; isStarted: boolean}>([
	{name: 'the caller disconnects before the answer', event: 'disconnect', isStarted: false},
	{name: 'the caller disconnects during a stream', event: 'disconnect', isStarted: true},
	{name: 'the request times out before the answer', event: 'timeout', isStarted: false},
	{name: 'the request times out during a stream', event: 'timeout', isStarted: true},
])('aborts the attempt when $name', async ({event, isStarted}) => {
	const {clock, port, send, forwarder} = createForwarderFixture('stream');
	const sink = send();
	if (isStarted) {
		port.attempts[0]!.events.onHead(answerHead());
	}

	if (event === 'disconnect') {
		sink.onDisconnect?.();
	} else {
		await clock.advance(1000);
	}

	expect(port.attempts[0]!.isAborted).toBe(true);
	expect(forwarder.active).toBe(0);
	expect(sink.isCut).toBe(event === 'timeout' && isStarted);
	expect(sink.refusal?.status).toBe(event === 'timeout' && !isStarted ? 504 : undefined);
});

// Guards against missing, duplicate and partial events when a stream resumes at another backend server.
it('resumes a stream without missing or duplicate events', () => {
	const {port, send} = createForwarderFixture('stream');
	const sink = send();
	const [first] = port.attempts;
	first!.events.onHead(answerHead());
	first!.events.onData(encoder.encode('id: 1\ndata: x\n\nid: 2\nda'));
	first!.events.onFailure({isUnsent: false, reason: 'reset'});
	const second = port.attempts[1]!;
	expect(first!.isAborted).toBe(true);
	expect(second.terms.resumeAfter).toBe(1);
	second.events.onHead(answerHead());
	second.events.onData(encoder.encode('id: 2\ndata: y\n\n'));
	second.events.onEnd();
	expect(sink.text).toBe('id: 1\ndata: x\n\nid: 2\ndata: y\n\n');
	expect(sink.isEnded).toBe(true);
});

// Guards against a stream that ends inside an event but looks complete.
it.each([
	{isResumable: true, attempts: 2, isCut: false},
	{isResumable: false, attempts: 1, isCut: true},
])('treats a partial event at the end as a broken stream, resumable $isResumable', ({isResumable, attempts, isCut}) => {
	const {port, send} = createForwarderFixture('stream', {isResumable});
	const sink = send();
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	events.onData(encoder.encode('id: 1\ndata: x\n\nid: 2\nda'));
	events.onEnd();
	expect(port.attempts).toHaveLength(attempts);
	expect({isCut: sink.isCut, isEnded: sink.isEnded}).toEqual({isCut, isEnded: false});
});

// Guards against new requests to a draining backend server.
it('sends nothing to a draining backend server', () => {
	const {port, send} = createForwarderFixture('idempotent', {}, [testBackend('a', {isDraining: true}), testBackend('bb')]);
	for (let index = 0; index < 10; index++) {
		send();
	}

	expect(new Set(port.attempts.map(({terms}) => terms.serverId))).toEqual(new Set(['bb']));
});

// Guards against retries that multiply the load during an outage.
it('stops retrying when the retry budget is exhausted', () => {
	const {port, send} = createForwarderFixture('idempotent');
	port.onAttempt = scriptedAnswers.reset;
	for (let index = 0; index < 100; index++) {
		send();
	}

	expect(port.attempts.length).toBeLessThanOrEqual(100 + (100 * 0.5) + 5);
});
