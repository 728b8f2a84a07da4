import {expect, it} from 'vitest';
import {ManualClock} from '../../testing/manual-clock.js';
import {RecordingSink} from '../../testing/recording-sink.js';
import {answerHead, type ScriptedAttempt, ScriptedPort} from '../../testing/scripted-port.js';
import {nullCounters} from '../base/null-counters.js';
import {nullLogger} from '../base/null-logger.js';
import {SeededRandom} from '../base/seeded-random.js';
import {type BackendServer} from '../control/backend-server.js';
import {RetryBudget} from '../entry/retry-budget.js';
import {type ForwardRequest} from './forward-request.js';
import {Forwarder} from './forwarder.js';
import {LoadAwareCascade} from './load-aware-cascade.js';
import {AffinityPlacement} from './placement.js';
import {RouteTable} from './route-table.js';
import {repetition, type Repetition, type Route} from './routing-config.js';
import {ServerPool} from './server-pool.js';

const encoder = new TextEncoder();

function server(id: string, changes: Partial<BackendServer> = {}): BackendServer {
	return {
		id, incarnation: 1, address: `10.0.0.${id.length}:1`, zone: 'z', kind: 'plain', offers: [], services: ['s'], checksFencing: false, checksSender: false, capacity: 4, release: 'v1', ...changes,
	};
}

function world(kind: Repetition, changes: Partial<Route> = {}, servers: readonly BackendServer[] = [server('a'), server('bb'), server('ccc')]) {
	const route: Route = {
		name: 'r', hostname: 'h.example', pathPrefix: '/a/', repetition: kind, timeoutMs: 1000, targetLatencyMs: 500, targetPauseMs: 0, priority: 2, services: [{service: 's', weight: 1}], maxAttempts: 3, isAnonymous: false, hasPromptParts: false, isResumable: kind === repetition.stream, models: [], ...changes,
	};
	const clock = new ManualClock();
	const random = new SeededRandom(1);
	const pool = new ServerPool();
	pool.update(servers);
	const port = new ScriptedPort();
	const lease = {expiresAt: 100_000, isValid: () => lease.expiresAt > clock.now()};
	const table = new RouteTable({
		version: 1,
		routes: [route],
		services: [{
			name: 's', healthPath: '/', maxConnections: 10, slots: undefined, models: [],
		}],
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		customers: [{name: 'shop', keys: ['key'], priority: 1}],
	});
	const budget = new RetryBudget(0.5, 5);
	const forwarder = new Forwarder({
		zone: 'z', clock, logger: nullLogger, counters: nullCounters, lease, state: () => ({table, rollouts: new Map(), hostCount: 1}), pool, port, placement: new AffinityPlacement(random), models: new LoadAwareCascade(60, 2), observer: {observe: () => undefined}, sessions: {note: () => undefined, isHeld: () => false}, budget: () => budget, random: () => random.next(),
	});
	const send = (req: Partial<ForwardRequest> = {}) => {
		const sink = new RecordingSink();
		forwarder.forward({
			id: 'q', hostname: 'h.example', path: '/a/x', key: 'key', deadlineMs: 2000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method: 'GET', target: '/a/x', headers: [], body: undefined,
			}, ...req,
		}, sink);
		return sink;
	};

	return {
		clock, pool, port, lease, forwarder, send, budget,
	};
}

/** What a backend server does with an attempt. */
const answers = {
	good({events}: ScriptedAttempt) {
		events.onHead(answerHead({length: 2}));
		events.onData(encoder.encode('ok'));
		events.onEnd();
	},
	failed({events}: ScriptedAttempt) {
		events.onHead(answerHead({status: 500, length: 0}));
		events.onEnd();
	},
	notRun({events}: ScriptedAttempt) {
		events.onHead(answerHead({status: 503, isNotRun: true}));
		events.onEnd();
	},
	otherServer({events}: ScriptedAttempt) {
		events.onHead(answerHead({status: 421, isOtherServer: true}));
		events.onEnd();
	},
	reset({events}: ScriptedAttempt) {
		events.onFailure({isUnsent: false, reason: 'reset'});
	},
	unsent({events}: ScriptedAttempt) {
		events.onFailure({isUnsent: true, reason: 'refused'});
	},
	short({events}: ScriptedAttempt) {
		events.onHead(answerHead({length: 5}));
		events.onData(encoder.encode('ok'));
		events.onEnd();
	},
	ofAnother({events}: ScriptedAttempt) {
		events.onHead(answerHead({isForRequest: false}));
	},
	unsigned({events}: ScriptedAttempt) {
		events.onHead(answerHead({isSigned: false}));
	},
} as const;

type Step = keyof typeof answers;

// Guards against requests that run twice, refusals that are not true, and answers that are broken or another request's.
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
])('answers $kind request with $status after $steps', ({kind, steps, status, ran, attempts}) => {
	const {port, send} = world(kind);
	port.onAttempt = (attempt, index) => {
		answers[steps[index]!](attempt);
	};

	const sink = send();
	expect(sink.status ?? sink.refusal?.status).toBe(status);
	expect(sink.refusal?.ran).toBe(ran);
	expect(port.attempts).toHaveLength(attempts);
	expect(new Set(port.attempts.map(({terms}) => terms.serverId)).size).toBe(attempts);
	expect((sink.refusal?.retryAfterSeconds ?? 0) > 0).toBe(ran === 'no');
});

// Guards against work under a configuration that may be out of date, and against requests that nothing allows.
it.each<{name: string; req: Partial<ForwardRequest>; leaseEnd?: number; at?: number; status: number}>([
	{
		name: 'no lease', req: {}, leaseEnd: 0, at: 10_000, status: 503,
	},
	{name: 'an unknown key', req: {key: 'other'}, status: 401},
	{name: 'no key', req: {key: undefined}, status: 401},
	{name: 'an unknown path', req: {path: '/b/'}, status: 404},
	{name: 'an unknown host', req: {hostname: 'other.example'}, status: 404},
])('refuses a request with $name at once', async ({req, leaseEnd, at = 0, status}) => {
	const {clock, port, send, lease} = world('idempotent');
	await clock.advance(at);
	lease.expiresAt = leaseEnd ?? lease.expiresAt;
	expect(send(req).refusal).toMatchObject({status, ran: 'no'});
	expect(port.attempts).toHaveLength(0);
});

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
	const {clock, port, send, lease, forwarder} = world('idempotent');
	port.onAttempt = answers.good;
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
	const {clock, port, send, lease, forwarder} = world('idempotent', {timeoutMs: 5000});
	lease.expiresAt = 0;
	send({deadlineMs: 4500});
	await clock.advance(1000);
	lease.expiresAt = 20_000;
	forwarder.open();
	expect(port.attempts[0]!.terms.remainingMs).toBe(3500);
});

// Guards against work for callers who have left while they waited.
it('drops a waiting request when its caller leaves', async () => {
	const {clock, port, send, lease, forwarder} = world('idempotent');
	lease.expiresAt = 0;
	const sink = send({deadlineMs: 8000});
	sink.onGone?.();
	await clock.advance(1000);
	lease.expiresAt = 20_000;
	forwarder.open();
	expect(port.attempts).toHaveLength(0);
	expect(forwarder.active).toBe(0);
});

// Guards against engines that work for callers who have left, and callers who wait past the limit of the route.
it.each<{name: string; event: 'gone' | 'timeout'; isStarted: boolean}>([
	{name: 'leaves before the answer', event: 'gone', isStarted: false},
	{name: 'leaves during a stream', event: 'gone', isStarted: true},
	{name: 'waits for the time limit', event: 'timeout', isStarted: false},
	{name: 'waits for the time limit during a stream', event: 'timeout', isStarted: true},
])('ends the attempt when the caller $name', async ({event, isStarted}) => {
	const {clock, port, send, forwarder} = world('stream');
	const sink = send();
	if (isStarted) {
		port.attempts[0]!.events.onHead(answerHead());
	}

	if (event === 'gone') {
		sink.onGone?.();
	} else {
		await clock.advance(1000);
	}

	expect(port.attempts[0]!.isAborted).toBe(true);
	expect(forwarder.active).toBe(0);
	expect(sink.isCut).toBe(event === 'timeout' && isStarted);
	expect(sink.refusal?.status).toBe(event === 'timeout' && !isStarted ? 504 : undefined);
});

// Guards against gaps, repeated events and torn events when a stream goes on at another backend server.
it('joins two runs of a stream without a gap or a repetition', () => {
	const {port, send} = world('stream');
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

// Guards against a stream that ends inside an event and looks complete.
it.each([
	{isResumable: true, attempts: 2, isCut: false},
	{isResumable: false, attempts: 1, isCut: true},
])('treats a torn event as a broken stream, resumable $isResumable', ({isResumable, attempts, isCut}) => {
	const {port, send} = world('stream', {isResumable});
	const sink = send();
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	events.onData(encoder.encode('id: 1\ndata: x\n\nid: 2\nda'));
	events.onEnd();
	expect(port.attempts).toHaveLength(attempts);
	expect({isCut: sink.isCut, isEnded: sink.isEnded}).toEqual({isCut, isEnded: false});
});

const generation = {
	model: undefined, inputTokens: 100, maxOutputTokens: 10, expectedOutputTokens: undefined, parts: [{id: 'p', tokens: 50}, {id: 'own', tokens: 50}],
};

// Guards against answers of a small model that are doubtful, and against asking a larger one when it would be late.
it.each([
	{confidence: 80, latencyMs: 50, models: ['small']},
	{confidence: 30, latencyMs: 50, models: ['small', 'large']},
	{confidence: 30, latencyMs: 400, models: ['small']},
])('asks $models at confidence $confidence and a latency of $latencyMs ms', async ({confidence, latencyMs, models}) => {
	const {clock, port, send} = world('stream', {models: ['small', 'middle', 'large']});
	// A first request tells the latency of the large model.
	send({generation});
	port.attempts[0]!.events.onHead(answerHead({confidence: 0}));
	await clock.advance(latencyMs);
	port.attempts[1]!.events.onHead(answerHead({confidence: 90}));
	port.attempts.length = 0;
	const sink = send({generation});
	port.attempts[0]!.events.onHead(answerHead({confidence}));
	expect(port.attempts.map(({terms}) => terms.model)).toEqual(models);
	expect(port.attempts[0]!.isAborted).toBe(models.length > 1);
	expect(sink.isStarted).toBe(models.length === 1);
});

// Guards against new work for a backend server that is leaving.
it('sends nothing to a draining backend server', () => {
	const {port, send} = world('idempotent', {}, [server('a', {isDraining: true}), server('bb')]);
	for (let index = 0; index < 10; index++) {
		send();
	}

	expect(new Set(port.attempts.map(({terms}) => terms.serverId))).toEqual(new Set(['bb']));
});

// Guards against retries that multiply the load of a fault.
it('stops to retry when the budget is used up', () => {
	const {port, send} = world('idempotent');
	port.onAttempt = answers.reset;
	for (let index = 0; index < 100; index++) {
		send();
	}

	expect(port.attempts.length).toBeLessThanOrEqual(100 + (100 * 0.5) + 5);
});
