import fc from 'fast-check';
import {expect, it} from 'vitest';
import {createForwarderFixture} from '../../testing/forwarder-fixture.js';
import {type RecordingSink} from '../../testing/recording-sink.js';
import {answerHead, type ScriptedAttempt} from '../../testing/scripted-port.js';

const encoder = new TextEncoder();
const targetMs = 500;
const timeoutMs = 3000;
const generation = {
	model: undefined, inputTokens: 100, maxOutputTokens: 10, expectedOutputTokens: undefined, parts: [{id: 'p', tokens: 50}, {id: 'own', tokens: 50}],
};
const eventTexts = [1, 2, 3, 4].map(id => `id: ${id}\ndata: ${'x'.repeat(id)}\n\n`);
const whole = eventTexts.join('');
const garbage = '#~%$ no answer\n\n';

function createFixture() {
	return createForwarderFixture('stream', {
		models: ['small', 'large'], targetLatencyMs: targetMs, targetPauseMs: 100, timeoutMs,
	});
}

/** A backend server that answers one attempt as its steps say. */
class SteppedServer {
	private _isStarted = false;
	private _isOver = false;
	private _at = 0;
	private readonly _text: string;

	constructor(private readonly _attempt: ScriptedAttempt) {
		this._text = eventTexts.slice(_attempt.terms.resumeAfter ?? 0).join('');
	}

	act(kind: string, bytes: number): void {
		if (this._isOver || this._attempt.isAborted) {
			return;
		}

		const {events} = this._attempt;
		switch (kind) {
			case 'bytes': {
				this._send(bytes);
				break;
			}

			case 'garbage': {
				this._send(this._leftOfEvent);
				events.onData(encoder.encode(garbage));
				break;
			}

			case 'end': {
				this._send(this._text.length);
				this._end();
				break;
			}

			case 'torn': {
				this._send(bytes);
				if (this._leftOfEvent > 0) {
					this._end();
				}

				break;
			}

			case 'refusal': {
				if (!this._isStarted) {
					this._isOver = true;
					events.onHead(answerHead({status: 503, isNotRun: true}));
				}

				break;
			}

			default: {
				this._isOver = true;
				events.onFailure({isUnsent: false, reason: 'reset'});
			}
		}
	}

	/** Number of bytes to the end of the event in progress. */
	private get _leftOfEvent(): number {
		const rest = this._text.slice(this._at);
		return this._text.slice(0, this._at).endsWith('\n\n') || this._at === 0 ? 0 : rest.indexOf('\n\n') + 2;
	}

	private _send(bytes: number): void {
		const {events, terms, isAborted} = this._attempt;
		if (!this._isStarted) {
			this._isStarted = true;
			events.onHead(answerHead({confidence: terms.model === 'small' ? 0 : 90}));
		}

		if (!isAborted && bytes > 0) {
			events.onData(encoder.encode(this._text.slice(this._at, this._at + bytes)));
			this._at += bytes;
		}
	}

	private _end(): void {
		this._isOver = true;
		this._attempt.events.onEnd();
	}
}

function describe({text, isEnded, isCut, refusal}: RecordingSink) {
	return {
		text, isEnded, isCut, isRefused: refusal !== undefined,
	};
}

// Guards against events that are missing, come twice or in part, and against a stream that looks complete before its last event,
// whatever comes to pass while an answer is held back.
it('delivers a gapless prefix of the events, and ends only the whole', async () => {
	const step = fc.record({
		attempt: fc.nat(2),
		kind: fc.constantFrom<string>('bytes', 'bytes', 'bytes', 'garbage', 'end', 'torn', 'refusal', 'reset', 'wait', 'block', 'drain'),
		bytes: fc.integer({min: 1, max: 40}),
		ms: fc.constantFrom(1, 60, 400, 1100),
	});
	await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 14}), async steps => {
		const {clock, port, send, forwarder} = createFixture();
		const sink = send({generation, deadlineMs: timeoutMs});
		const servers = new Map<ScriptedAttempt, SteppedServer>();
		for (const {attempt, kind, bytes, ms} of steps) {
			switch (kind) {
				case 'wait': {
					await clock.advance(ms); // eslint-disable-line no-await-in-loop -- one step after another
					break;
				}

				case 'block': {
					sink.isKeepingUp = false;
					break;
				}

				case 'drain': {
					sink.isKeepingUp = true;
					sink.onDrain?.();
					break;
				}

				default: {
					const target = port.attempts[Math.min(attempt, port.attempts.length - 1)]!;
					servers.set(target, servers.get(target) ?? new SteppedServer(target));
					servers.get(target)!.act(kind, bytes);
				}
			}

			expect([whole, ...eventTexts.map((_, count) => eventTexts.slice(0, count).join(''))]).toContain(sink.text);
			expect(!sink.isEnded || sink.text === whole).toBe(true);
			expect(sink.isEnded && sink.isCut).toBe(false);
		}

		await clock.advance(timeoutMs);
		expect([sink.isEnded, sink.isCut, sink.refusal !== undefined].filter(Boolean)).toHaveLength(1);
		expect(forwarder.active).toBe(0);
		expect(port.attempts.every(attempt => attempt.isAborted || sink.isEnded || sink.refusal !== undefined)).toBe(true);
	}), {numRuns: 1500, seed: 7});
});

const heldSteps = {
	spoilt: [eventTexts[0]!, garbage, eventTexts[2]!, eventTexts[3]!],
	torn: [eventTexts[0]!, eventTexts[1]!.slice(0, 5)],
	whole: eventTexts,
} as const;

// Guards against the delivery of a held answer that is not valid, and against one that is lost although it is.
it.each<{name: keyof typeof heldSteps; hasEnded: boolean; text: string; isEnded: boolean; isAborted: boolean}>([
	{
		name: 'spoilt', hasEnded: true, text: '', isEnded: false, isAborted: true,
	},
	{
		name: 'spoilt', hasEnded: false, text: '', isEnded: false, isAborted: true,
	},
	{
		name: 'torn', hasEnded: true, text: '', isEnded: false, isAborted: true,
	},
	{
		name: 'torn', hasEnded: false, text: eventTexts[0]!, isEnded: false, isAborted: false,
	},
	{
		name: 'whole', hasEnded: true, text: whole, isEnded: true, isAborted: false,
	},
	{
		name: 'whole', hasEnded: false, text: whole, isEnded: false, isAborted: false,
	},
])('delivers of a held answer that is $name, ended $hasEnded, only what is valid', async ({name, hasEnded, text, isEnded, isAborted}) => {
	const {clock, port, send} = createFixture();
	const sink = send({generation, deadlineMs: timeoutMs});
	const [small] = port.attempts;
	small!.events.onHead(answerHead({confidence: 0}));
	for (const chunk of heldSteps[name]) {
		small!.events.onData(encoder.encode(chunk));
	}

	if (hasEnded) {
		small!.events.onEnd();
	}

	expect(small!.isAborted).toBe(isAborted);
	await clock.advance((targetMs * 2) - 1);
	expect(sink.text).toBe('');
	await clock.advance(1);
	expect(describe(sink)).toEqual({
		text, isEnded, isCut: false, isRefused: false,
	});
});

// Guards against memory that grows with a held answer, and against taking a long answer for a failure of its server.
it('gives up a held answer that is too long, and does not blame its server', () => {
	const {pool, port, send} = createFixture();
	for (let count = 0; count < 3; count++) {
		send({generation, deadlineMs: timeoutMs});
		const small = port.attempts.at(-1)!;
		small.events.onHead(answerHead({confidence: 0}));
		for (let id = 1; !small.isAborted; id++) {
			expect(id).toBeLessThan(100);
			small.events.onData(encoder.encode(`id: ${id}\ndata: ${'x'.repeat(30_000)}\n\n`));
		}

		expect(port.attempts.at(-1)!.terms.model).toBe('large');
		expect(port.attempts.at(-1)!.isAborted).toBe(false);
	}

	expect(pool.openServers('s').map(({health}) => health.isEjected)).toEqual([false, false, false]);
});

// Guards against an answer that is resumed at the wrong event after it was held back, delivered and then spoilt.
it('resumes a held answer after its last event when it is spoilt after its delivery', async () => {
	const {clock, port, send} = createFixture();
	const sink = send({generation, deadlineMs: timeoutMs});
	const [small] = port.attempts;
	small!.events.onHead(answerHead({confidence: 0}));
	small!.events.onData(encoder.encode(eventTexts[0]! + eventTexts[1]!.slice(0, 4)));
	await clock.advance(targetMs * 2);
	small!.events.onData(encoder.encode(eventTexts[1]!.slice(4)));
	small!.events.onData(encoder.encode(garbage));
	const third = port.attempts[2]!;
	expect(third.terms).toMatchObject({resumeAfter: 2, model: 'small'});
	third.events.onHead(answerHead({confidence: 0}));
	third.events.onData(encoder.encode(eventTexts.slice(2).join('')));
	third.events.onEnd();
	expect(describe(sink)).toEqual({
		text: whole, isEnded: true, isCut: false, isRefused: false,
	});
});

// Guards against a request that ends without an answer because the larger model is silent after the smaller answer has failed.
it('asks another server when the larger model is silent and no answer is held any more', async () => {
	const {clock, port, send} = createFixture();
	send({generation, deadlineMs: timeoutMs});
	const [small] = port.attempts;
	small!.events.onHead(answerHead({confidence: 0}));
	small!.events.onFailure({isUnsent: false, reason: 'reset'});
	expect(port.attempts).toHaveLength(2);
	await clock.advance(targetMs);
	expect(port.attempts.map(({terms, isAborted}) => [terms.model, isAborted])).toEqual([['small', true], ['large', true], ['large', false]]);
});

// Guards against a request that outlives its deadline because the event loop was late and the held answer is delivered only then.
it.each([
	{
		hasEnded: false, text: '', isEnded: false, isRefused: true,
	},
	{
		hasEnded: true, text: whole, isEnded: true, isRefused: false,
	},
])('ends a request whose held answer is still held at the deadline, ended $hasEnded', async ({hasEnded, text, isEnded, isRefused}) => {
	const {clock, port, send, forwarder} = createForwarderFixture('stream', {
		models: ['small', 'large'], targetLatencyMs: timeoutMs, targetPauseMs: 100, timeoutMs,
	});
	const sink = send({generation, deadlineMs: timeoutMs});
	const setTimer = clock.setTimer.bind(clock);
	clock.setTimer = (delayMs, callback) => setTimer(delayMs + 100, callback);
	const [small] = port.attempts;
	small!.events.onHead(answerHead({confidence: 0}));
	small!.events.onData(encoder.encode(hasEnded ? whole : eventTexts[0]));
	if (hasEnded) {
		small!.events.onEnd();
	}

	expect(port.attempts.map(({terms}) => terms.model)).toEqual(['small', 'large']);
	await clock.advance(timeoutMs);
	expect(describe(sink)).toEqual({
		text, isEnded, isCut: false, isRefused,
	});
	expect(forwarder.active).toBe(0);
	expect(port.attempts.map(({isAborted}) => isAborted)).toEqual([!hasEnded, true]);
});
