import {expect, it} from 'vitest';
import {nullCounters} from '../base/null-counters.js';
import {type BackendServer} from '../control/backend-server.js';
import {parseDocument} from '../documents/parse-document.js';
import {BilledRequest} from '../ledger/billed-request.js';
import {type EntryLedger} from '../ledger/entry-ledger.js';
import {type OpenRecord} from '../ledger/ledger-record.js';
import {ManualClock} from '../../testing/manual-clock.js';
import {type AnswerChunk} from './answer-chunk.js';
import {AttemptRunner} from './attempt-runner.js';
import {type EngineAnswer, type EngineCall} from './engine-client.js';
import {EngineError} from './engine-error.js';
import {type EntryServices} from './entry-services.js';
import {FirstTokenTimes} from './first-token-times.js';
import {executionStatus} from './execution-status.js';
import {type RequestContext} from './request-context.js';
import {RetryBudget} from './retry-budget.js';

/** Time until an engine sends its first chunk, or the error with which it fails. */
type Behaviour = {readonly firstTokenMs: number} | {readonly fails: EngineError};

type HedgeCase = {
	readonly name: string;
	readonly engines: Readonly<Record<string, Behaviour>>;
	readonly idempotent?: boolean;
	readonly budget?: number;
	/** Engines in the order in which attempts are sent to them. */
	readonly sent: readonly string[];
	readonly answer: string;
	readonly aborted: readonly string[];
};

const documentText = `{service: notes, customers: [{name: customer, keySha256: ${'a'.repeat(64)}}], versions: [m@1]}`;

/** Attempt runner with engines a and b. Engine a is selected first; the 95th percentile of the time to first token is 100 ms. */
class AttemptRunnerFixture {
	readonly clock = new ManualClock();
	readonly calls: EngineCall[] = [];
	readonly aborted: string[] = [];
	readonly evacuatedZones = new Set<string>();
	/** Called with each call of an engine, before it is answered. */
	onCall: (() => void) | undefined;
	readonly retryBudget: RetryBudget;
	readonly runner: AttemptRunner;
	private readonly _billed: BilledRequest;

	constructor(private readonly _behaviours: Readonly<Record<string, Behaviour>>, idempotent = true, budget = 10) {
		this.retryBudget = new RetryBudget(0.1, budget);
		const document = parseDocument(documentText);
		const [customer] = document.customers;
		const servers = Object.keys(_behaviours).map(id => ({
			id, incarnation: 1, zone: `zone-${id}`, offers: [{ref: 'm@1', inputCost: 1_000_000, outputCost: 1_000_000}],
		} as unknown as BackendServer));
		const firstTokenTimes = new FirstTokenTimes();
		for (let index = 0; index < 20; index++) {
			firstTokenTimes.record('m@1', 100);
		}

		const services = {
			clock: this.clock,
			counters: nullCounters,
			firstTokenTimes,
			retryBudget: this.retryBudget,
			view: {
				revision: 7, documents: new Map([['notes', {document, withdrawn: []}]]), backendServers: new Map(servers.map(server => [server.id, server])), isQuarantined: () => false, evacuatedZones: this.evacuatedZones,
			},
			lease: {
				isValid: () => true, expiresAt: 4000, currentUntil: 4000, isSuperseded: false,
			},
			selector: {
				select: (_: unknown, candidates: BackendServer[]) => candidates[0], dispatch: () => ({firstToken: () => undefined, finish: () => undefined}),
			},
			policy: {observe: () => undefined},
			engines: {call: async (call: EngineCall, signal: AbortSignal) => this._call(call, signal)},
		} as unknown as EntryServices;
		const record: OpenRecord = {
			type: 'open', requestId: 'r', customer: 'customer', service: 'notes', idempotent,
		};
		const ledger: unknown = {isFenced: false};
		this._billed = new BilledRequest({ledger: ledger as EntryLedger, clock: this.clock, finishTimeoutMs: 1000}, record, Promise.resolve());
		const ctx: unknown = {
			requestId: 'r', customer, document, requestClass: 'short', urgency: 'normal', idempotent, deadlineAt: 1000, prompt: '', inputTokens: 10, maxTokens: 10, body: {},
		};
		this.runner = new AttemptRunner(services, ctx as RequestContext);
	}

	/** @returns the text of the answer, or the code of the error. */
	async run(): Promise<string> {
		const [result] = await Promise.all([this._run(), this.clock.advance(1000)]);
		return result;
	}

	private async _run(): Promise<string> {
		try {
			const answer = await this.runner.run({
				ref: 'm@1', index: 0, billed: this._billed, signal: new AbortController().signal, onChunk: async () => undefined,
			});
			return answer.text;
		} catch (error) {
			return (error as EngineError).code;
		}
	}

	private async _call(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer> {
		this.calls.push(call);
		this.onCall?.();
		if (!call.mayStart()) {
			throw new EngineError('zone-evacuated', '', executionStatus.no);
		}

		const behaviour = this._behaviours[call.server.id]!;
		if ('fails' in behaviour) {
			throw behaviour.fails;
		}

		await new Promise<void>((resolve, reject) => {
			this.clock.setTimer(behaviour.firstTokenMs, resolve);
			signal.addEventListener('abort', () => {
				this.aborted.push(call.server.id);
				reject(new EngineError('cancelled', 'cancelled', executionStatus.unknown));
			});
		});
		return {chunks: chunksOf(call.server.id), usage: {inputTokens: 10, outputTokens: 1}};
	}
}

async function * chunksOf(text: string): AsyncGenerator<AnswerChunk> {
	yield {delta: {content: text}, tokens: 1};
	yield {delta: {}, finishReason: 'stop', tokens: 0};
}

// Guards against hedges that are sent too early, exceed the retry budget, or run a non-idempotent request twice.
it.each<HedgeCase>([
	{
		name: 'sends no hedge when the first engine is fast', engines: {a: {firstTokenMs: 99}, b: {firstTokenMs: 1}}, sent: ['a'], answer: 'a', aborted: [],
	},
	{
		name: 'uses the answer of the hedge when the first engine is slower', engines: {a: {firstTokenMs: 500}, b: {firstTokenMs: 1}}, sent: ['a', 'b'], answer: 'b', aborted: ['a'],
	},
	{
		name: 'uses the answer of the first engine when the hedge is slower', engines: {a: {firstTokenMs: 150}, b: {firstTokenMs: 500}}, sent: ['a', 'b'], answer: 'a', aborted: ['b'],
	},
	{
		name: 'sends no hedge without a second engine', engines: {a: {firstTokenMs: 500}}, sent: ['a'], answer: 'a', aborted: [],
	},
	{
		name: 'sends no hedge for a non-idempotent request', engines: {a: {firstTokenMs: 500}, b: {firstTokenMs: 1}}, idempotent: false, sent: ['a'], answer: 'a', aborted: [],
	},
	{
		name: 'sends no hedge without retry budget', engines: {a: {firstTokenMs: 500}, b: {firstTokenMs: 1}}, budget: 0, sent: ['a'], answer: 'a', aborted: [],
	},
	{
		name: 'keeps the first attempt when the hedge fails',
		engines: {a: {firstTokenMs: 500}, b: {fails: new EngineError('refused', '', executionStatus.no)}},
		sent: ['a', 'b'],
		answer: 'a',
		aborted: [],
	},
])('$name', async ({engines, idempotent, budget, sent, answer, aborted}) => {
	const fixture = new AttemptRunnerFixture(engines, idempotent, budget);
	expect(await fixture.run()).toBe(answer);
	expect(fixture.calls.map(({server}) => server.id)).toEqual(sent);
	expect(fixture.aborted).toEqual(aborted);
	// Every attempt is billed; a cancelled one is billed for its prompt.
	const {attempts, cost} = fixture.runner.log;
	expect(attempts).toHaveLength(sent.length);
	expect(attempts.filter(({outcome}) => outcome === 'cancelled').map(({server}) => server)).toEqual(aborted);
	expect(cost).toBe(11 + (10 * aborted.length));
	expect(new Set(fixture.calls.map(({attemptId}) => attemptId)).size).toBe(sent.length);
});

// Guards against retries that exceed the retry budget, and against retries of a non-idempotent request that may have run.
it.each([
	{
		name: 'refused', fault: new EngineError('refused', '', executionStatus.no), budget: 10, idempotent: false, sent: ['a', 'b'], result: 'b',
	},
	{
		name: 'broken and idempotent', fault: new EngineError('broken', '', executionStatus.unknown), budget: 10, idempotent: true, sent: ['a', 'b'], result: 'b',
	},
	{
		name: 'broken and not idempotent', fault: new EngineError('broken', '', executionStatus.unknown), budget: 10, idempotent: false, sent: ['a'], result: 'broken',
	},
	{
		name: 'without budget', fault: new EngineError('refused', '', executionStatus.no), budget: 0, idempotent: true, sent: ['a'], result: 'refused',
	},
])('retries only when allowed ($name): sent to $sent', async ({fault, budget, idempotent, sent, result}) => {
	const fixture = new AttemptRunnerFixture({a: {fails: fault}, b: {firstTokenMs: 1}}, idempotent, budget);
	const before = fixture.retryBudget.available;
	expect(await fixture.run()).toBe(result);
	expect(fixture.calls.map(({server}) => server.id)).toEqual(sent);
	expect(before - fixture.retryBudget.available).toBe(sent.length - 1);
});

// Guards against attempts, retries and hedges at an engine of an evacuated zone, and against one that is written there by an earlier choice.
it.each<{name: string; before?: readonly string[]; later?: readonly string[]; engines: Readonly<Record<string, Behaviour>>; sent: readonly string[]; result: string}>([
	{
		name: 'a first attempt', before: ['zone-a'], engines: {a: {firstTokenMs: 1}, b: {firstTokenMs: 1}}, sent: ['b'], result: 'b',
	},
	{
		name: 'an attempt that is not written yet', later: ['zone-a'], engines: {a: {firstTokenMs: 1}, b: {firstTokenMs: 1}}, sent: ['a', 'b'], result: 'b',
	},
	{
		name: 'a retry', before: ['zone-b'], engines: {a: {fails: new EngineError('refused', '', executionStatus.no)}, b: {firstTokenMs: 1}}, sent: ['a'], result: 'refused',
	},
	{
		name: 'a hedge', before: ['zone-b'], engines: {a: {firstTokenMs: 500}, b: {firstTokenMs: 1}}, sent: ['a'], result: 'a',
	},
	{
		name: 'an attempt while all zones are evacuated', before: ['zone-a', 'zone-b'], engines: {a: {firstTokenMs: 1}, b: {firstTokenMs: 1}}, sent: [], result: 'version-unavailable',
	},
	{
		name: 'an attempt when all zones are evacuated before it is written', later: ['zone-a', 'zone-b'], engines: {a: {firstTokenMs: 1}, b: {firstTokenMs: 1}}, sent: ['a'], result: 'zone-evacuated',
	},
])('keeps $name away from evacuated zones', async ({before = [], later = [], engines, sent, result}) => {
	const fixture = new AttemptRunnerFixture(engines);
	const evacuate = (zones: readonly string[]) => {
		for (const zone of zones) {
			fixture.evacuatedZones.add(zone);
		}
	};

	evacuate(before);
	fixture.onCall = () => {
		evacuate(later);
	};

	expect(await fixture.run()).toBe(result);
	expect(fixture.calls.map(({server}) => server.id)).toEqual(sent);
	expect(fixture.runner.log.ran).toBe(['a', 'b'].includes(result) ? 'yes' : 'no');
});

// Guards against engines that keep working after the deadline of the request, or start after the lease expired.
it('sends the deadline and the lease expiry to the engine', async () => {
	const fixture = new AttemptRunnerFixture({a: {firstTokenMs: 1}});
	await fixture.run();
	expect(fixture.calls[0]).toMatchObject({deadlineMs: 1000, startWithinMs: 1000, revision: 7});
});
