import {
	afterAll, beforeAll, expect, it,
} from 'vitest';
import {type EngineFaults, noFaults} from '../emulator/engine-faults.js';
import {type EmulatedEngine} from '../emulator/emulated-engine.js';
import {type Bill} from '../common/ledger/ledger.js';
import {EmbeddedCaller, refusalOf, until} from '../quickstart/embedded-caller.js';
import {EmbeddedSystem} from '../quickstart/embedded-system.js';

type Case = {
	readonly name: string;
	readonly faults: Partial<EngineFaults>;
	readonly canResume?: boolean;
	/** Expected status and error code of an idempotent request that is first sent to the faulty one of two engines. */
	readonly idempotent: readonly [number, string];
	/** Expected status, error code and `ran` of a non-idempotent request that is first sent to the faulty engine. */
	readonly nonIdempotent: readonly [number, string, string];
	/** Whether the faulty engine runs the non-idempotent request. */
	readonly hasRun: boolean;
	/** Outcome of the non-idempotent request in its bill. */
	readonly outcome: string;
};

const cases: readonly Case[] = [
	{
		name: 'killed-before-first-token', faults: {resetsBeforeAnswer: true}, idempotent: [200, ''], nonIdempotent: [502, 'engine-broken', 'unknown'], hasRun: true, outcome: 'unknown',
	},
	{
		name: 'killed-after-first-token', faults: {resetAfterTokens: 3}, idempotent: [200, 'engine-broken'], nonIdempotent: [200, 'engine-broken', 'yes'], hasRun: true, outcome: 'failed',
	},
	{
		name: 'killed-after-first-token-resumes', faults: {resetAfterTokens: 3}, canResume: true, idempotent: [200, ''], nonIdempotent: [200, 'engine-broken', 'yes'], hasRun: true, outcome: 'failed',
	},
	{
		name: 'refuses', faults: {refuses: true}, idempotent: [200, ''], nonIdempotent: [200, '', 'no'], hasRun: false, outcome: 'answered',
	},
	{
		name: 'hangs-until-deadline', faults: {hangs: true}, idempotent: [504, 'deadline-exceeded'], nonIdempotent: [504, 'deadline-exceeded', 'unknown'], hasRun: true, outcome: 'unknown',
	},
	{
		name: 'sends-empty-answer', faults: {sendsEmptyAnswer: true}, idempotent: [200, ''], nonIdempotent: [200, '', 'yes'], hasRun: true, outcome: 'answered',
	},
	{
		name: 'returns-wrong-attempt-id', faults: {returnsWrongAttemptId: true}, idempotent: [200, ''], nonIdempotent: [502, 'engine-attempt-mismatch', 'unknown'], hasRun: true, outcome: 'unknown',
	},
];

/** Complete answer of an emulated engine. */
const wholeAnswer = Array.from({length: 12}, (_, index) => `word${index}`).join(' ');
const deadline = {'catkinbeam-deadline-ms': '400'};
let system: EmbeddedSystem;
let caller: EmbeddedCaller;

beforeAll(async () => {
	system = await EmbeddedSystem.start({
		engines: cases.flatMap(({name, canResume}) => ['faulty', 'healthy'].map(id => ({
			id: `${name}-${id}`, ref: `${name}@1`, skill: 1, inputCost: 1, outputCost: 1, canResume,
		}))),
	});
	caller = new EmbeddedCaller(system);
	await caller.submit({service: 'notes', versions: cases.map(({name}) => `${name}@1`)});
});
afterAll(async () => system.stop());

function engineOf(name: string): EmulatedEngine {
	return system.engines.get(name)!;
}

type Result = {status: number; text: string; content: string; code: string; ran: string; bill: Bill; headers: Readonly<Record<string, unknown>>};

async function ask(name: string, headers: Record<string, string>): Promise<Result> {
	const reply = await caller.chat({model: `${name}@1`, stream: true}, {headers});
	const bills = await caller.billsOf(String(reply.headers['catkinbeam-request-id']));
	expect(bills).toHaveLength(1);
	const events = reply.status === 200 ? reply.text.split('\n').filter(line => line.startsWith('data: {')).map(line => line.slice(6)) : [reply.text];
	const parsed = events.map(event => JSON.parse(event) as {error?: {code: string; ran: string}; choices?: Array<{delta: {content?: string}}>});
	const error = parsed.find(event => event.error)?.error;
	// A complete stream ends with `[DONE]`, and a stream with an error never does.
	expect(reply.status === 200 && reply.text.endsWith('data: [DONE]\n\n')).toBe(error === undefined);
	return {
		...reply, bill: bills[0]!, code: error?.code ?? '', ran: error?.ran ?? 'yes', content: parsed.map(event => event.choices?.[0]?.delta.content ?? '').join(''),
	};
}

/** Sends requests until one is first sent to the faulty engine. All others must be answered. */
async function askFaulty(name: string, headers: Record<string, string>): Promise<Result> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- one request after another
		const result = await ask(name, headers);
		if (result.bill.attempts[0]?.server === `${name}-faulty`) {
			return result;
		}

		expect(result.content).toBe(wholeAnswer);
	}
}

it.each(cases)('$name: an idempotent request gets the complete answer or an error', async ({name, faults, idempotent: [status, code]}) => {
	Object.assign(engineOf(`${name}-faulty`).faults, noFaults(), faults);
	const result = await askFaulty(name, faults.hangs ? deadline : {});
	expect([result.status, result.code]).toEqual([status, code]);
	if (code === '') {
		expect(result.content).toBe(faults.sendsEmptyAnswer ? '' : wholeAnswer);
		expect(result.bill.outcome).toBe('answered');
	} else {
		expect(wholeAnswer.startsWith(result.content)).toBe(true);
		expect(result.content).not.toBe(wholeAnswer);
		expect(result.bill.outcome).toBe('failed');
	}
});

it.each(cases)('$name: a non-idempotent request runs at most once, and its error states correctly whether it ran', async ({name, faults, nonIdempotent: [status, code, ran], hasRun, outcome}) => {
	Object.assign(engineOf(`${name}-faulty`).faults, noFaults(), faults);
	const {bill, ...result} = await askFaulty(name, {'catkinbeam-non-idempotent': 'true', ...(faults.hangs && deadline)});
	const executed = ['faulty', 'healthy'].flatMap(id => engineOf(`${name}-${id}`).executed).filter(id => id.startsWith(`${bill.requestId}.`));
	expect([result.status, result.code, bill.outcome]).toEqual([status, code, outcome]);
	expect(executed).toHaveLength(1);
	expect(engineOf(`${name}-faulty`).executed.includes(executed[0]!)).toBe(hasRun);
	if (code !== '') {
		expect(result.ran).toBe(ran);
	}
});

// Guards against a false statement that nothing ran, and against a second run, when no engine accepts the request.
it('reports that nothing ran when every engine refuses', async () => {
	for (const id of ['faulty', 'healthy']) {
		Object.assign(engineOf(`refuses-${id}`).faults, noFaults(), {refuses: true});
	}

	const reply = await caller.chat({model: 'refuses@1'});
	const {ran, retryAfterSeconds} = refusalOf(reply);
	expect([reply.status, ran, retryAfterSeconds]).toEqual([503, 'no', 1]);
	expect(reply.headers['retry-after']).toBe('1');
	const [bill] = await caller.billsOf(String(reply.headers['catkinbeam-request-id']));
	expect([bill!.outcome, bill!.cost]).toEqual(['failed', 0]);
});

// Guards against an engine that works on a request after its deadline.
it('sends the deadline to the engine and cancels the attempt when it passes', async () => {
	const name = 'hangs-until-deadline-faulty';
	const {bill} = await askFaulty('hangs-until-deadline', deadline);
	const {attemptId} = bill.attempts[0]!;
	expect(engineOf(name).deadlines.get(attemptId)).toBeGreaterThan(0);
	expect(engineOf(name).deadlines.get(attemptId)).toBeLessThanOrEqual(400);
	await until(() => engineOf(name).cancelled.has(attemptId));
});
