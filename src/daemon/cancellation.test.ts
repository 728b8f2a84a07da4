/* eslint-disable @typescript-eslint/naming-convention -- field names of the published chat completion interface */
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {noFaults} from '../emulator/engine-faults.js';
import {type EmulatedEngine} from '../emulator/emulated-engine.js';
import {EmbeddedCaller, refusalOf, until} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';

let system: EmbeddedSystem;
let caller: EmbeddedCaller;
let engine: EmulatedEngine;

beforeAll(async () => {
	system = await EmbeddedSystem.start({
		engines: [{
			id: 'one', ref: 'slow@1', skill: 1, inputCost: 1_000_000, outputCost: 1_000_000, answerTokens: 400,
		}],
		flags: {maxConcurrent: '1'},
	});
	caller = new EmbeddedCaller(system);
	await caller.submit({service: 'notes', versions: ['slow@1']});
	engine = system.engines.get('one')!;
});
afterAll(async () => system.stop());

function activeRequests(): number {
	return system.daemons[0]!.status.activeRequests;
}

/** Sends a request and aborts it once the engine runs it. @returns the attempt id. */
async function abortAtEngine(body: Record<string, unknown>, headers: Record<string, string> = {}): Promise<string> {
	const before = engine.executed.length;
	const controller = new AbortController();
	const pending = caller.chat({model: 'notes', ...body}, {headers, signal: controller.signal});
	await until(() => engine.executed.length > before);
	controller.abort();
	await expect(pending).rejects.toThrow();
	return engine.executed.at(-1)!;
}

// Guards against engines that continue to work after the caller has disconnected, and against bills without the cost of that work.
it.each<{name: string; body: Record<string, unknown>; hangs: boolean; headers: Record<string, string>; outcome: string}>([
	{
		name: 'a buffered answer before its first token', body: {}, hangs: true, headers: {}, outcome: 'cancelled',
	},
	{
		name: 'a stream before its first token', body: {stream: true}, hangs: true, headers: {}, outcome: 'cancelled',
	},
	{
		name: 'a buffered answer', body: {}, hangs: false, headers: {}, outcome: 'cancelled',
	},
	{
		name: 'a stream', body: {stream: true}, hangs: false, headers: {}, outcome: 'cancelled',
	},
	{
		name: 'a non-idempotent request that may have run', body: {}, hangs: true, headers: {'catkinbeam-non-idempotent': 'true'}, outcome: 'unknown',
	},
])('cancels $name at the engine and bills its cost', async ({body, hangs, headers, outcome}) => {
	Object.assign(engine.faults, noFaults(), {hangs});
	const attemptId = await abortAtEngine(body, headers);
	await until(() => engine.cancelled.has(attemptId));
	const [bill, ...others] = await caller.billsOf(attemptId.slice(0, attemptId.lastIndexOf('.')));
	expect(others).toEqual([]);
	expect(bill!.outcome).toBe(outcome);
	expect(bill!.attempts.map(attempt => attempt.outcome)).toEqual(['cancelled']);
	expect(bill!.cost).toBeGreaterThan(0);
	await until(() => activeRequests() === 0);
});

// Guards against queued requests that run, or keep their place in the queue, after their caller has disconnected.
it('drops a queued request whose caller has disconnected', async () => {
	Object.assign(engine.faults, noFaults(), {hangs: true});
	const before = engine.executed.length;
	const first = new AbortController();
	const running = caller.chat({model: 'notes'}, {signal: first.signal});
	await until(() => engine.executed.length > before);
	const second = new AbortController();
	const queued = caller.chat({model: 'notes'}, {signal: second.signal});
	await until(() => activeRequests() === 2);
	second.abort();
	await expect(queued).rejects.toThrow();
	await until(() => activeRequests() === 1);
	engine.faults.hangs = false;
	first.abort();
	await expect(running).rejects.toThrow();
	const reply = await caller.chat({model: 'notes', max_tokens: 2});
	expect(reply.status).toBe(200);
	expect(engine.executed.slice(before)).toHaveLength(2);
});

// Guards against callers that wait past their deadline.
it('refuses a queued request with a retry time when its deadline passes', async () => {
	Object.assign(engine.faults, noFaults(), {hangs: true});
	const before = engine.executed.length;
	const first = new AbortController();
	const running = caller.chat({model: 'notes'}, {signal: first.signal});
	await until(() => engine.executed.length > before);
	const reply = await caller.chat({model: 'notes'}, {headers: {'catkinbeam-deadline-ms': '100'}});
	expect(reply.status).toBe(429);
	expect(refusalOf(reply)).toMatchObject({code: 'deadline-unreachable', ran: 'no', retryAfterSeconds: expect.any(Number) as number});
	expect(reply.headers['retry-after']).toMatch(/^\d+$/v);
	first.abort();
	await expect(running).rejects.toThrow();
	expect(engine.executed.slice(before)).toHaveLength(1);
});

// Guards against answers that are truncated, reordered or billed twice when the caller reads slowly.
it('sends the complete answer to a slow caller', async () => {
	Object.assign(engine.faults, noFaults());
	const res = await request(`${system.callerUrl()}/v1/chat/completions`, {
		method: 'POST',
		highWaterMark: 512,
		headers: {authorization: `Bearer ${caller.key}`},
		body: JSON.stringify({model: 'notes', stream: true, messages: [{role: 'user', content: 'Summarise the log.'}]}),
	});
	let text = '';
	let chunks = 0;
	for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
		text += new TextDecoder().decode(chunk);
		if (chunks++ % 50 === 0) {
			await wait(20);
		}
	}

	const words = [...text.matchAll(/"content":" ?word(?<position>\d+)"/gv)].map(match => Number(match.groups!.position));
	expect(words).toEqual(Array.from({length: 400}, (_, index) => index));
	expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
	const bills = await caller.billsOf(String(res.headers['catkinbeam-request-id']));
	expect(bills.map(({outcome}) => outcome)).toEqual(['answered']);
});
