import {expect, it} from 'vitest';
import {createForwarderFixture} from '../../testing/forwarder-fixture.js';
import {answerHead, type ScriptedAttempt} from '../../testing/scripted-port.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {type Repetition} from './routing-config.js';

const answerWith = (status: number, isNotRun: boolean) => ({events}: ScriptedAttempt) => {
	events.onHead(answerHead({
		status, isNotRun, isOtherServer: status === 421, headers: ['x-seal', 's'],
	}));
	events.onEnd();
};

// Guards against a caller that is told to send a request again which has run, and against a refusal that bears a server's signature
// or is not that of the server.
it.each([408, 421, 429, 503].flatMap(status => [
	{
		kind: 'once' as Repetition, status, isNotRun: false, refusal: {status: 502, ran: 'unknown', code: `unproven-${status}`}, attempts: 1,
	},
	{
		kind: 'idempotent' as Repetition, status, isNotRun: false, refusal: {status: 502, ran: 'unknown', code: `unproven-${status}`}, attempts: 3,
	},
	{
		kind: 'stream' as Repetition, status, isNotRun: false, refusal: {status: 502, ran: 'unknown', code: `unproven-${status}`}, attempts: 3,
	},
	{
		kind: 'once' as Repetition, status, isNotRun: true, refusal: {status: 503, ran: 'no', code: 'server-refused'}, attempts: 3,
	},
]))('answers a request of the kind $kind with $refusal when its servers answer $status, stated as not run: $isNotRun', ({kind, status, isNotRun, refusal, attempts}) => {
	const {port, send} = createForwarderFixture(kind);
	port.onAttempt = answerWith(status, isNotRun);
	const sink = send();
	expect(sink.refusal).toMatchObject(refusal);
	expect(sink.refusal?.retryAfterSeconds === undefined).toBe(!isNotRun);
	expect(sink.status).toBeUndefined();
	expect(port.attempts).toHaveLength(attempts);
});

// Guards against a request that fails although it may be repeated, and against more retries than the budget allows.
it.each([
	{
		name: 'a retry', hasBudget: true, status: 200, attempts: 2,
	},
	{
		name: 'no retry', hasBudget: false, status: 502, attempts: 1,
	},
])('answers with $status when $name is left after a status that proves nothing', ({hasBudget, status, attempts}) => {
	const {port, send, budget} = createForwarderFixture('idempotent');
	for (let left = hasBudget ? 0 : budget.available; left > 0; left--) {
		budget.take();
	}

	port.onAttempt = (attempt, index) => {
		(index === 0 ? answerWith(503, false) : scriptedAnswers.good)(attempt);
	};

	const sink = send();
	expect(sink.status ?? sink.refusal?.status).toBe(status);
	expect(port.attempts).toHaveLength(attempts);
});

// Guards against a stream with the text of a refusal in the middle.
it('cuts a stream when the next server answers with a status that proves nothing and no retry is left', () => {
	const {port, send} = createForwarderFixture('stream', {maxAttempts: 2});
	const sink = send();
	const {events} = port.attempts[0]!;
	events.onHead(answerHead());
	events.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
	port.onAttempt = answerWith(429, false);
	events.onFailure({isUnsent: false, reason: 'reset'});
	expect(sink).toMatchObject({text: 'id: 1\ndata: x\n\n', isCut: true, isEnded: false});
});
