import {expect, it} from 'vitest';
import {createForwarderFixture} from '../../testing/forwarder-fixture.js';
import {type RecordingSink} from '../../testing/recording-sink.js';
import {scriptedAnswers} from '../../testing/scripted-answers.js';
import {answerHead, type ScriptedAttempt} from '../../testing/scripted-port.js';

const encoder = new TextEncoder();
const generation = {
	model: undefined, inputTokens: 100, maxOutputTokens: 10, expectedOutputTokens: undefined, parts: [{id: 'p', tokens: 50}, {id: 'own', tokens: 50}],
};
const smallEvent = 'id: 1\ndata: small\n\n';
const targetMs = 500;

/** A forwarder whose requests get a small answer with the given confidence. */
function createFixture(confidence: number) {
	const fixture = createForwarderFixture('stream', {models: ['small', 'middle', 'large'], targetLatencyMs: targetMs, timeoutMs: 5000});
	const ask = (): {sink: RecordingSink; small: ScriptedAttempt; large: ScriptedAttempt | undefined} => {
		fixture.port.attempts.length = 0;
		const sink = fixture.send({generation, deadlineMs: 5000});
		const [small] = fixture.port.attempts;
		small!.events.onHead(answerHead({confidence}));
		small!.events.onData(encoder.encode(smallEvent));
		return {sink, small: small!, large: fixture.port.attempts[1]};
	};

	return {...fixture, ask};
}

// Guards against accepting doubtful answers of the small model, and against escalating good ones.
it.each([
	{confidence: 80, models: ['small']},
	{confidence: 30, models: ['small', 'large']},
])('asks $models at confidence $confidence', ({confidence, models}) => {
	const {port, ask} = createFixture(confidence);
	const {sink, small} = ask();
	expect(port.attempts.map(({terms}) => terms.model)).toEqual(models);
	expect(sink.text).toBe(models.length === 1 ? smallEvent : '');
	expect(small.isAborted).toBe(false);
});

// Guards against escalations when the larger model would be late.
it('delivers the small answer when the larger model was slow', async () => {
	const {clock, ask} = createFixture(30);
	const {large} = ask();
	await clock.advance(targetMs * 0.95);
	large!.events.onHead(answerHead({confidence: 90}));
	const {sink} = ask();
	expect(sink.text).toBe(smallEvent);
});

// Guards against a small answer that runs on or reaches the caller after the larger model has answered.
it('drops the small answer when the larger model answers', () => {
	const {ask} = createFixture(30);
	const {sink, small, large} = ask();
	large!.events.onHead(answerHead({confidence: 90}));
	expect(small.isAborted).toBe(true);
	large!.events.onData(encoder.encode('id: 1\ndata: large\n\n'));
	large!.events.onEnd();
	expect(sink).toMatchObject({text: 'id: 1\ndata: large\n\n', isEnded: true});
});

// Guards against requests that fail together with a larger model although a smaller one has answered.
it.each<{name: string; fail: (large: ScriptedAttempt) => void; waitMs: number}>([
	{name: 'refuses the request', fail: scriptedAnswers.notRun, waitMs: 0},
	{name: 'fails', fail: scriptedAnswers.failed, waitMs: 0},
	{name: 'breaks the connection', fail: scriptedAnswers.reset, waitMs: 0},
	{name: 'cannot be reached', fail: scriptedAnswers.unsent, waitMs: 0},
	{name: 'answers without a signature', fail: scriptedAnswers.unsigned, waitMs: 0},
	{name: 'does not answer', fail: () => undefined, waitMs: targetMs * 2},
])('delivers the small answer when the larger model $name', async ({fail, waitMs}) => {
	const {clock, ask} = createFixture(30);
	const {sink, small, large} = ask();
	small.events.onEnd();
	fail(large!);
	await clock.advance(waitMs);
	expect(sink).toMatchObject({text: smallEvent, isEnded: true, refusal: undefined});
	expect(large!.isAborted).toBe(true);
});

// Guards against a request that ends with its small answer although the larger model still works on it.
it('waits for the larger model when the small answer breaks', () => {
	const {ask} = createFixture(30);
	const {sink, small, large} = ask();
	scriptedAnswers.reset(small);
	expect(sink.refusal).toBeUndefined();
	large!.events.onHead(answerHead({confidence: 90}));
	expect(sink.isStarted).toBe(true);
});

// Guards against engines that keep working when the caller has left.
it('aborts both attempts when the caller disconnects', () => {
	const {ask} = createFixture(30);
	const {sink, small, large} = ask();
	sink.onDisconnect?.();
	expect([small.isAborted, large!.isAborted]).toEqual([true, true]);
});

// Guards against a stream with duplicate events: the timeout for the head of the smaller answer must not start another attempt
// while that answer is held back and the larger model is asked.
it('does not take a held answer for a stalled one', async () => {
	const {clock, port, send} = createForwarderFixture('stream', {models: ['small', 'middle', 'large'], targetLatencyMs: targetMs, timeoutMs: 5000});
	const sink = send({generation, deadlineMs: 5000});
	await clock.advance(targetMs * 0.2);
	port.attempts[0]!.events.onHead(answerHead({confidence: 0}));
	await clock.advance(targetMs);
	expect(port.attempts.map(({terms, isAborted}) => [terms.model, isAborted])).toEqual([['small', false], ['large', false]]);
	for (const {events} of [...port.attempts].reverse()) {
		events.onHead(answerHead({confidence: 90}));
		events.onData(encoder.encode('id: 1\ndata: x\n\n'));
	}

	expect(sink.text).toBe('id: 1\ndata: x\n\n');
});
