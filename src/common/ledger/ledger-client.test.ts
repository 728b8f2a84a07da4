import {describe, expect, it} from 'vitest';
import {LedgerFixture} from '../../testing/ledger-fixture.js';
import {closeRecord, openRecord} from '../../testing/ledger-records.js';
import {LedgerFencedError, LedgerUnavailableError} from './ledger-errors.js';

describe('LedgerClient', () => {
	// Guards against storing a record twice when the reply to its batch is lost and the batch is resent.
	it('stores a batch once when its reply is lost', async () => {
		const fixture = new LedgerFixture(1);
		const client = fixture.client('e1');
		fixture.network.cut('v1', 'e1');
		const opened = client.open(openRecord('r1'));
		await fixture.clock.advance(100);
		expect(fixture.state.open.size).toBe(1);
		fixture.network.heal();
		expect(await fixture.waitFor(opened)).toEqual({status: 'opened'});
		expect(fixture.log.entries.length).toBeGreaterThan(1);
		expect(await fixture.waitFor(client.close(closeRecord('r1')))).toEqual({status: 'closed'});
		expect([...fixture.state.bills]).toHaveLength(1);
	});

	// Guards against a batch that is lost or stored twice when the leader changes before the commit is confirmed.
	it.each([0, 1])('stores a batch once when the leader changes before its commit (%i of its proposals kept)', async kept => {
		const fixture = new LedgerFixture(2);
		const client = fixture.client('e1');
		const opened = client.open(openRecord('r1'));
		await fixture.clock.advance(2);
		fixture.log.elect('v2', kept);
		expect(await fixture.waitFor(opened)).toEqual({status: 'opened'});
		expect(fixture.state.open.size).toBe(1);
	});

	// Guards against a client that becomes slow or blocks because it sends one batch per record.
	it('sends the records submitted while a batch is in flight as one batch', async () => {
		const fixture = new LedgerFixture(3);
		const client = fixture.client('e1');
		const calls = [client.open(openRecord('r0'))];
		await fixture.clock.advance(1);
		calls.push(...Array.from({length: 50}, async (_, index) => client.open(openRecord(`r${index + 1}`))));
		await fixture.waitFor(Promise.all(calls));
		expect(fixture.log.entries).toHaveLength(2);
	});

	// Guards against delayed copies of batches, which a network may deliver in any order.
	it('stores each record once when messages are duplicated and reordered', async () => {
		const fixture = new LedgerFixture(4);
		Object.assign(fixture.network.faults, {maxDelayMs: 400, duplicateRate: 0.5, lossRate: 0.1});
		const client = fixture.client('e1');
		let bills = 0;
		fixture.state.onClosed(() => bills++);
		for (let index = 0; index < 40; index++) {
			const id = `r${index}`;
			// eslint-disable-next-line no-await-in-loop -- batches in sequence, while copies of earlier ones are in flight
			const results = await fixture.waitFor(Promise.all([client.open(openRecord(id)), client.close(closeRecord(id))]));
			expect(results).toEqual([{status: 'opened'}, {status: 'closed'}]);
		}

		await fixture.clock.advance(2000);
		expect([bills, fixture.state.open.size]).toEqual([40, 0]);
		expect(fixture.log.entries.length).toBeGreaterThan(45);
	});

	// Guards against telling a caller that a record is not stored when it is stored later.
	it('removes a queued record at its deadline and reports the outcome of a sent record as unknown', async () => {
		const fixture = new LedgerFixture(5);
		const client = fixture.client('e1');
		fixture.log.elect(undefined);
		const sent = client.open(openRecord('r1'), {timeoutMs: 500});
		await fixture.clock.advance(1);
		const queued = client.open(openRecord('r2'), {timeoutMs: 500});
		const results = await fixture.waitFor(Promise.allSettled([sent, queued]));
		expect(results).toMatchObject([{reason: {code: 'ledger-unknown'}}, {reason: {code: 'ledger-unavailable'}}]);
		fixture.log.elect('v2');
		await fixture.clock.advance(3000);
		expect([...fixture.state.open.keys()]).toEqual(['r1']);
	});

	// Guards against an unbounded queue, and against refusing a close whose open was accepted.
	it('refuses opens and pins, but not closes, when its queue is full', async () => {
		const fixture = new LedgerFixture(6);
		const client = fixture.client('e1', 1, {maxQueued: 2});
		fixture.log.elect(undefined);
		const accepted = [client.open(openRecord('r0'))];
		await fixture.clock.advance(1);
		accepted.push(client.open(openRecord('r1')), client.open(openRecord('r2')));
		await expect(client.open(openRecord('r3'))).rejects.toThrow(LedgerUnavailableError);
		const closed = client.close(closeRecord('r1'));
		fixture.log.elect('v1');
		expect(await fixture.waitFor(Promise.all(accepted))).toHaveLength(3);
		expect(await closed).toEqual({status: 'closed'});
	});

	// Guards against a malformed record that makes the whole batch fail, with the records of other requests.
	it('refuses only the malformed record', async () => {
		const fixture = new LedgerFixture(7);
		const client = fixture.client('e1');
		const results = await fixture.waitFor(Promise.allSettled([client.open(openRecord('r1')), client.open(openRecord('r2', {session: 'x'.repeat(300)}))]));
		expect(results).toMatchObject([{value: {status: 'opened'}}, {reason: {code: 'ledger-record-invalid'}}]);
	});

	// Guards against a fenced process that continues, and against records that are never settled.
	it('rejects all records once fenced, and fires onFenced once', async () => {
		const fixture = new LedgerFixture(8);
		const client = fixture.client('e1');
		let events = 0;
		client.onFenced(() => events++);
		await fixture.waitFor(client.open(openRecord('r1')));
		fixture.directory.expire('e1', 1);
		await fixture.clock.advance(100);
		const late = [client.close(closeRecord('r1')), client.open(openRecord('r2'))];
		await fixture.clock.advance(1);
		late.push(client.open(openRecord('r3')));
		const results = await fixture.waitFor(Promise.allSettled(late));
		expect(results.map(result => result.status === 'rejected' && (result.reason as {code: string}).code)).toEqual(Array.from({length: 3}, () => 'ledger-fenced'));
		await expect(client.open(openRecord('r4'))).rejects.toThrow(LedgerFencedError);
		expect(events).toBe(1);
	});

	// Guards against callers that wait for ever after a stop, or that are told that a record is not stored when it may be.
	it('rejects all pending records when it is stopped', async () => {
		const fixture = new LedgerFixture(9);
		const client = fixture.client('e1');
		const sent = client.open(openRecord('r1'));
		await fixture.clock.advance(1);
		const queued = client.open(openRecord('r2'));
		client.dispose();
		const results = await fixture.waitFor(Promise.allSettled([sent, queued]));
		expect(results).toMatchObject([{reason: {code: 'ledger-unknown'}}, {reason: {code: 'ledger-unavailable'}}]);
	});

	// Guards against delaying records that a caller waits for, and against delaying records beyond the linger time.
	it('delays records with mayLinger until the linger time is over or a record without it is submitted', async () => {
		const fixture = new LedgerFixture(10);
		const client = fixture.client('e1', 1, {lingerMs: 50});
		void client.open(openRecord('r1'), {mayLinger: true});
		await fixture.clock.advance(40);
		expect(fixture.log.entries).toHaveLength(0);
		await fixture.waitFor(client.open(openRecord('r2')));
		expect(fixture.log.entries).toHaveLength(1);
		void client.close(closeRecord('r1'), {mayLinger: true});
		await fixture.clock.advance(60);
		expect(fixture.log.entries).toHaveLength(2);
	});
});
