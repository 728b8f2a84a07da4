import {describe, expect, it} from 'vitest';
import {LedgerFixture} from '../../testing/ledger-fixture.js';
import {closeRecord, openRecord} from '../../testing/ledger-records.js';
import {type BilledRequest} from './billed-request.js';
import {type LedgerClient} from './ledger-client.js';
import {
	AttemptRefusedError, LedgerFencedError, LedgerRecordError, LedgerUnavailableError, LedgerUnknownError,
} from './ledger-errors.js';
import {type BeginResult, RequestLedger} from './request-ledger.js';

const keyed = {idempotent: false, key: 'k', bodyHash: 'a'};
const result = closeRecord('', {attempts: [], answer: 'text'});

function runnable(begun: BeginResult): BilledRequest {
	if (begun.status !== 'run') {
		throw new Error(`the request may not run: ${begun.status}`);
	}

	return begun.request;
}

class Hosts {
	readonly fixture = new LedgerFixture(11);
	readonly clients = new Map<string, LedgerClient>();

	start(entry: string): RequestLedger {
		const client = this.fixture.client(entry);
		this.clients.set(entry, client);
		return new RequestLedger(client, this.fixture.clock);
	}
}

describe('RequestLedger: keys', () => {
	// Guards against a request that runs at two entry hosts at the same time.
	it.each([true, false])('runs a request once when two entry hosts open it with the same key at the same time (idempotent: %s)', async idempotent => {
		const hosts = new Hosts();
		const [a, b] = [hosts.start('e1'), hosts.start('e2')];
		const begun = [a.begin(openRecord('r1', {...keyed, idempotent})), b.begin(openRecord('r2', {...keyed, idempotent}))];
		await hosts.fixture.clock.advance(50);
		const first = runnable(await Promise.race(begun));
		first.startAttempt();
		await hosts.fixture.waitFor(first.finish(result));
		const both = await hosts.fixture.waitFor(Promise.all(begun));
		expect(both.map(({status}) => status).sort((x, y) => x < y ? -1 : 1)).toEqual(['replay', 'run']);
		expect(both.find(({status}) => status === 'replay')).toMatchObject({answer: 'text'});
	});

	// Guards against a resend that waits for ever.
	it('reports that the request is still running at the end of the wait', async () => {
		const hosts = new Hosts();
		await hosts.fixture.waitFor(hosts.start('e1').begin(openRecord('r1', keyed)));
		expect(await hosts.fixture.waitFor(hosts.start('e2').begin(openRecord('r2', keyed)))).toEqual({status: 'running', requestId: 'r1'});
		expect(hosts.fixture.clock.now()).toBeLessThan(32_000);
	});

	// Guards against a resend that runs the request again, or that is not told everything that is known.
	it.each<[string, Parameters<BilledRequest['finish']>[0], unknown]>([
		['answered', result, {status: 'replay', answer: 'text'}],
		['answered, with an answer above 16 KiB', {...result, answer: 'x'.repeat(20_000)}, {status: 'settled', ran: 'yes'}],
		['unknown', {...result, outcome: 'unknown', answer: undefined}, {status: 'settled', ran: 'unknown', bill: {outcome: 'unknown'}}],
		['failed', {...result, outcome: 'failed', answer: undefined}, {status: 'settled', ran: 'unknown'}],
	])('reports to a resend at another entry host that the request is %s', async (_, outcome, expected) => {
		const hosts = new Hosts();
		const request = runnable(await hosts.fixture.waitFor(hosts.start('e1').begin(openRecord('r1', keyed))));
		request.startAttempt();
		await hosts.fixture.waitFor(request.finish(outcome));
		expect(await hosts.fixture.waitFor(hosts.start('e2').begin(openRecord('r2', keyed)))).toMatchObject(expected as Record<string, unknown>);
		expect(await hosts.fixture.waitFor(hosts.start('e3').begin(openRecord('r3', {...keyed, bodyHash: 'b'})))).toEqual({status: 'key-reused'});
	});

	// Guards against a resend that waits for a lost entry host, or that runs a non-idempotent request again after the loss.
	it.each([
		[false, {status: 'settled', ran: 'unknown', bill: {outcome: 'unknown'}}],
		[true, {status: 'run'}],
	])('ends the wait of a resend when the entry host of the request is lost (idempotent: %s)', async (idempotent, expected) => {
		const hosts = new Hosts();
		const {fixture} = hosts;
		await fixture.waitFor(hosts.start('e1').begin(openRecord('r1', {...keyed, idempotent})));
		const resend = hosts.start('e2').begin(openRecord('r2', {...keyed, idempotent}));
		await fixture.clock.advance(100);
		fixture.directory.expire('e1', 1);
		expect(await fixture.waitFor(resend, 1000)).toMatchObject(expected);
	});

	// Guards against a resend that fails when the leader that holds its wait is deposed.
	it('continues to wait at a new leader', async () => {
		const hosts = new Hosts();
		const {fixture} = hosts;
		const request = runnable(await fixture.waitFor(hosts.start('e1').begin(openRecord('r1', keyed))));
		const resend = hosts.start('e2').begin(openRecord('r2', keyed));
		await fixture.clock.advance(100);
		fixture.log.elect('v3');
		request.startAttempt();
		await fixture.waitFor(request.finish(result));
		expect(await fixture.waitFor(resend, 3000)).toMatchObject({status: 'replay'});
	});
});

describe('RequestLedger: order', () => {
	// Guards against dispatching a non-idempotent request, or one with a key, before its open is durable.
	it.each([
		[{idempotent: false}, false],
		[{idempotent: true, key: 'k'}, false],
		[{idempotent: true}, true],
	])('lets %j begin without a leader: %s', async (fields, canRun) => {
		const hosts = new Hosts();
		hosts.fixture.log.elect(undefined);
		const begun = hosts.start('e1').begin(openRecord('r1', fields));
		let isBegun = false;
		const recordBegin = async () => {
			await begun;
			isBegun = true;
		};

		void Promise.allSettled([recordBegin()]);
		await hosts.fixture.clock.advance(1000);
		expect(isBegun).toBe(canRun);
	});

	// Guards against dispatching a request whose open can never be recorded.
	it.each([true, false])('refuses a malformed record before the dispatch (idempotent: %s)', async idempotent => {
		const ledger = new Hosts().start('e1');
		await expect(ledger.begin(openRecord('r1', {idempotent, session: 'x'.repeat(300)}))).rejects.toThrow(LedgerRecordError);
	});

	// Guards against completing an answer before its bill is durable.
	it('finishes an idempotent request only when its open and close are durable', async () => {
		const hosts = new Hosts();
		hosts.fixture.log.elect(undefined);
		const request = runnable(await hosts.start('e1').begin(openRecord('r1')));
		request.startAttempt();
		const finished = request.finish(result);
		await hosts.fixture.clock.advance(2000);
		expect([...hosts.fixture.state.bills]).toHaveLength(0);
		hosts.fixture.log.elect('v2');
		await hosts.fixture.waitFor(finished);
		expect([...hosts.fixture.state.bills]).toMatchObject([{requestId: 'r1', outcome: 'answered'}]);
	});

	// Guards against a key that stays owned by a request whose caller was told that it did not run.
	it('frees the key of a request that was refused because the outcome of its open was not known in time', async () => {
		const hosts = new Hosts();
		const {fixture} = hosts;
		fixture.network.cut('v1', 'e1');
		await expect(fixture.waitFor(hosts.start('e1').begin(openRecord('r1', keyed)))).rejects.toThrow(LedgerUnknownError);
		expect(fixture.state.open.size).toBe(1);
		fixture.network.heal();
		await fixture.clock.advance(3000);
		expect([...fixture.state.bills]).toMatchObject([{requestId: 'r1', outcome: 'cancelled', notRun: true}]);
		runnable(await fixture.waitFor(hosts.start('e2').begin(openRecord('r2', keyed))));
	});

	// Guards against a request that has no bill because its close was still queued at the deadline. The caller gets no complete answer.
	it.each([
		[openRecord('r1', {idempotent: false}), 'failed'],
		[openRecord('r1', keyed), 'answered'],
	])('closes %j as %s after its finish timed out', async (open, outcome) => {
		const hosts = new Hosts();
		const {fixture} = hosts;
		const ledger = hosts.start('e1');
		const request = runnable(await fixture.waitFor(ledger.begin(open)));
		request.startAttempt();
		// Another record is in flight, so the close stays in the queue.
		fixture.log.elect(undefined);
		await ledger.begin(openRecord('r0'));
		await fixture.clock.advance(10);
		await expect(fixture.waitFor(request.finish(result))).rejects.toThrow(LedgerUnavailableError);
		fixture.log.elect('v1');
		await fixture.clock.advance(2000);
		expect([...fixture.state.bills]).toMatchObject([{requestId: 'r1', outcome}]);
	});

	// Guards against a complete answer from a fenced entry host: the first close wins, and that is the one of the fence.
	it.each([true, false])('ends the answer of a fenced entry host as broken (idempotent: %s)', async idempotent => {
		const hosts = new Hosts();
		const {fixture} = hosts;
		const request = runnable(await fixture.waitFor(hosts.start('e1').begin(openRecord('r1', {idempotent}))));
		request.startAttempt();
		await fixture.clock.advance(100);
		let fences = 0;
		hosts.clients.get('e1')!.onFenced(() => fences++);
		fixture.directory.expire('e1', 1);
		await fixture.clock.advance(100);
		await expect(fixture.waitFor(request.finish(result))).rejects.toThrow(LedgerFencedError);
		expect(fences).toBe(1);
		expect([...fixture.state.bills]).toMatchObject([{requestId: 'r1', outcome: idempotent ? 'interrupted' : 'unknown'}]);
	});
});

describe('BilledRequest', () => {
	// Guards against a second run of a non-idempotent request, and against refusing an attempt that is safe.
	it.each<[string, boolean, boolean, boolean]>([
		['a non-idempotent request that may have run', false, false, false],
		['a non-idempotent request that was not written', false, true, true],
		['an idempotent request that may have run', true, false, true],
	])('allows another attempt only if it is safe, after %s', async (_, idempotent, isMarked, isAllowed) => {
		const hosts = new Hosts();
		const request = runnable(await hosts.fixture.waitFor(hosts.start('e1').begin(openRecord('r1', {idempotent}))));
		const permit = request.startAttempt();
		if (isMarked) {
			permit.markNotWritten();
			permit.markNotWritten();
		}

		const attempt = () => {
			request.startAttempt();
		};

		if (isAllowed) {
			expect(attempt).not.toThrow();
		} else {
			expect(attempt).toThrow(AttemptRefusedError);
		}
	});

	// Guards against a request that stays open because its result cannot be recorded.
	it.each([['finish'], ['abandon']] as const)('closes a request whose result is malformed (%s)', async method => {
		const hosts = new Hosts();
		const request = runnable(await hosts.fixture.waitFor(hosts.start('e1').begin(openRecord('r1', {idempotent: false}))));
		request.startAttempt();
		const attempts = Array.from({length: 65}, () => closeRecord('r1').attempts[0]!);
		const [outcome] = await hosts.fixture.waitFor(Promise.allSettled([request[method]({...result, attempts})]));
		expect(outcome.status).toBe(method === 'finish' ? 'rejected' : 'fulfilled');
		await hosts.fixture.clock.advance(500);
		expect([...hosts.fixture.state.bills]).toMatchObject([{requestId: 'r1', outcome: 'failed', attempts: []}]);
	});

	// Guards against a second close, and against attempts after the close.
	it('refuses attempts and a second close once it is finished', async () => {
		const hosts = new Hosts();
		const request = runnable(await hosts.start('e1').begin(openRecord('r1')));
		request.abandon({...result, outcome: 'cancelled'});
		expect(() => request.startAttempt()).toThrow(AttemptRefusedError);
		await expect(request.finish(result)).rejects.toThrow(AttemptRefusedError);
		await hosts.fixture.clock.advance(500);
		expect([...hosts.fixture.state.bills]).toMatchObject([{outcome: 'cancelled', notRun: true}]);
	});
});
