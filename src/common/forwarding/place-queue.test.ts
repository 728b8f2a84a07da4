import {expect, it} from 'vitest';
import {
	createForwarderFixture, testBackend, testTable,
} from '../../testing/forwarder-fixture.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {answerHead, type ScriptedAttempt} from '../../testing/scripted-port.js';
import {PlaceQueue} from './place-queue.js';
import {type Repetition, type Route} from './routing-config.js';

/** Creates a queue whose requests record their names when there are places for them. */
function createQueue() {
	const clock = new ManualClock();
	const queue = new PlaceQueue(clock);
	const placed: string[] = [];
	const state = {places: 0};
	const add = (name: string, isBlocked = false, onPlaced: () => void = () => undefined) => queue.add('s', () => {
		if (isBlocked || state.places === 0) {
			return false;
		}

		state.places--;
		placed.push(name);
		onPlaced();
		return true;
	});
	return {
		clock, queue, placed, state, add,
	};
}

// Guards against requests that overtake each other, and against one that holds up all others because only it is blocked.
it('places requests in the order of their arrival, past blocked ones', () => {
	const {queue, placed, state, add} = createQueue();
	add('a');
	add('blocked', true);
	const leaving = add('b');
	add('c');
	add('d');
	state.places = 1;
	queue.release('s');
	expect(placed).toEqual(['a']);
	leaving!.dispose();
	state.places = 1;
	queue.release('other');
	expect(placed).toEqual(['a']);
	queue.releaseAll();
	expect(placed).toEqual(['a', 'c']);
	expect(queue.size).toBe(2);
});

// Guards against a place that stays free because it became free while another request was placed.
it('uses a place that becomes free during a release', () => {
	const {queue, placed, state, add} = createQueue();
	add('a', false, () => {
		state.places++;
		queue.release('s');
	});
	add('b', true);
	add('c');
	state.places = 1;
	queue.release('s');
	expect(placed).toEqual(['a', 'c']);
});

// Guards against requests that wait for ever because a pause ended without an event, and against a timer without requests.
it('tries again after some time', async () => {
	const {clock, queue, placed, state, add} = createQueue();
	add('a');
	await clock.advance(1000);
	state.places = 1;
	await clock.advance(100);
	expect(placed).toEqual(['a']);
	expect(queue.size).toBe(0);
});

// Guards against memory that grows without a bound, and against a queue whose every release costs as much as its length.
it('bounds the queue and the cost of a release', () => {
	const {queue, add} = createQueue();
	let tries = 0;
	const block = () => {
		tries++;
		return false;
	};

	for (let count = 0; count < 1000; count++) {
		expect(queue.add('s', () => block())).toBeDefined();
	}

	expect(add('x')).toBeUndefined();
	queue.release('s');
	expect(tries).toBeLessThanOrEqual(10);
});

/** Creates a forwarder with a number of connections to each of its servers. */
function createFixture(kind: Repetition, connections: number, ids: readonly string[], changes: Partial<Route> = {}) {
	const fixture = createForwarderFixture(kind, changes, ids.map(id => testBackend(id)));
	fixture.replaceTable(testTable([fixture.route], [{name: 'shop', keys: ['key'], priority: 1}], connections / 0.8));
	const serverIds = () => fixture.port.attempts.map(({terms}) => terms.serverId);
	return {...fixture, serverIds};
}

const answer = (attempt: ScriptedAttempt | undefined) => {
	scriptedAnswers.good(attempt!);
};

// Guards against a request that waits for one server while others are free, more connections than a server accepts, and a
// deadline that is that of the arrival.
it('sends a request to the server that is free first', async () => {
	const {clock, port, send, serverIds} = createFixture('once', 2, ['a', 'bb']);
	for (let count = 0; count < 4; count++) {
		send();
	}

	expect(serverIds().sort()).toEqual(['a', 'a', 'bb', 'bb']);
	const sinks = [send(), send()];
	expect(port.attempts).toHaveLength(4);
	await clock.advance(300);
	const free = port.attempts[2]!;
	answer(free);
	expect(port.attempts).toHaveLength(5);
	expect(port.attempts[4]!.terms).toMatchObject({serverId: free.terms.serverId, remainingMs: 700});
	answer(port.attempts[4]);
	answer(port.attempts[5]);
	expect(sinks.map(({status}) => status)).toEqual([200, 200]);
});

// Guards against a request that waits for a server which is leaving, and is sent to it when it has a free connection.
it.each([
	{name: 'a server leaves', isDraining: true, sentTo: []},
	{name: 'no server leaves', isDraining: false, sentTo: ['a']},
])('sends a waiting request to $sentTo when a connection is free and $name', ({isDraining, sentTo}) => {
	const {port, send, pool, serverIds} = createFixture('once', 1, ['a', 'bb']);
	send();
	send();
	send();
	pool.update([testBackend('a', {isDraining}), testBackend('bb')], 0);
	answer(port.attempts.find(({terms}) => terms.serverId === 'a'));
	expect(serverIds().slice(2)).toEqual(sentTo);
	answer(port.attempts.find(({terms}) => terms.serverId === 'bb'));
	expect(serverIds().slice(2)).toEqual(isDraining ? ['bb'] : ['a']);
});

// Guards against requests that are sent although their caller has left or their time is over, and against a refusal that says
// that such a request may have run.
it.each<{name: string; end: (fixture: ReturnType<typeof createFixture>, leave: () => void) => Promise<void> | void; refusal: Record<string, unknown> | undefined}>([
	{
		name: 'its caller leaves', end(_, leave) {
			leave();
		}, refusal: undefined,
	},
	{
		name: 'its time is over', end: async ({clock}) => clock.advance(500), refusal: {status: 503, ran: 'no'},
	},
	{
		name: 'the lease expires', async end({clock, lease}) {
			lease.expiresAt = 10;
			await clock.advance(200);
		}, refusal: {status: 503, code: 'lease-expired', ran: 'no'},
	},
	{
		name: 'all servers leave', async end({clock, pool}) {
			pool.update([], 0);
			await clock.advance(100);
		}, refusal: {status: 503, code: 'no-server', ran: 'no'},
	},
])('does not send a waiting request when $name', async ({end, refusal}) => {
	const fixture = createFixture('once', 1, ['a']);
	const {port, send, forwarder} = fixture;
	send();
	const sink = send({deadlineMs: 500});
	await end(fixture, () => {
		sink.onDisconnect?.();
	});
	if (refusal === undefined) {
		expect(sink.refusal).toBeUndefined();
	} else {
		expect(sink.refusal).toMatchObject(refusal);
	}

	answer(port.attempts[0]);
	expect(port.attempts).toHaveLength(1);
	expect(forwarder.active).toBe(0);
});

// Guards against a retry that is lost because all other servers are busy.
it('sends a retry when another server has a free connection', () => {
	const {port, send} = createFixture('idempotent', 1, ['a', 'bb']);
	send();
	const sink = send();
	const [other, failing] = port.attempts;
	scriptedAnswers.reset(failing!);
	expect(port.attempts).toHaveLength(2);
	answer(other);
	expect(port.attempts).toHaveLength(3);
	answer(port.attempts[2]);
	expect(sink.status).toBe(200);
});

// Guards against a smaller answer that is lost, or comes twice, while the larger model waits for a connection.
it.each([
	{
		name: 'does not get', ms: 1000, isSent: false, text: 'id: 1\ndata: x\n\n',
	},
	{
		name: 'gets', ms: 500, isSent: true, text: '',
	},
])('delivers a held answer when the larger model $name a connection', async ({ms, isSent, text}) => {
	const {clock, port, send} = createFixture('stream', 1, ['a', 'bb'], {models: ['small', 'large'], targetLatencyMs: 500, timeoutMs: 5000});
	const generation = {
		model: undefined, inputTokens: 100, maxOutputTokens: 10, expectedOutputTokens: undefined, parts: [],
	};
	send({generation: {...generation, model: 'small'}, deadlineMs: 5000});
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	const sink = send({generation, deadlineMs: 5000});
	const small = port.attempts[1]!;
	small.events.onHead(answerHead({confidence: 0}));
	small.events.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
	expect(port.attempts).toHaveLength(2);
	await clock.advance(ms);
	expect(sink.text).toBe(text);
	if (isSent) {
		events.onEnd();
		expect(port.attempts[2]!.terms.model).toBe('large');
	} else {
		small.events.onEnd();
		events.onEnd();
		expect(port.attempts).toHaveLength(2);
		expect(sink.isEnded).toBe(true);
	}
});
