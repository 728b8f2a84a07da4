import {describe, expect, it} from 'vitest';
import {LedgerFixture} from '../../testing/ledger-fixture.js';
import {closeRecord, openRecord, pinRecord} from '../../testing/ledger-records.js';
import {ledgerMethods} from './ledger-methods.js';

const methods = ledgerMethods(0);

describe('LedgerService: fences', () => {
	// Guards against requests that stay open because their entry host expired while the ledger had no leader.
	it('fences an incarnation that expired while there was no leader, once there is one', async () => {
		const fixture = new LedgerFixture(31);
		await fixture.waitFor(fixture.client('e1').open(openRecord('r1')));
		fixture.log.elect(undefined);
		fixture.directory.expire('e1', 1);
		await fixture.clock.advance(5000);
		expect(fixture.state.open.size).toBe(1);
		fixture.log.elect('v2');
		await fixture.clock.advance(100);
		expect([...fixture.state.bills]).toMatchObject([{requestId: 'r1', outcome: 'interrupted'}]);
	});

	// Guards against a fence that is lost when the leader changes before it is committed.
	it('repeats a fence whose outcome is unknown', async () => {
		const fixture = new LedgerFixture(32);
		await fixture.waitFor(fixture.client('e1').open(openRecord('r1')));
		fixture.directory.expire('e1', 1);
		await fixture.clock.advance(1);
		fixture.log.elect('v3', 0);
		await fixture.clock.advance(3000);
		expect(fixture.state.open.size).toBe(0);
	});

	// Guards against a live entry host that is fenced because this voter has not applied its join yet.
	it.each([
		['a directory that is current', true, 9000, 1],
		['a directory that is current', true, 14_000, 0],
		['a directory that is not current', false, 60_000, 1],
	])('with %s (%s) and an incarnation absent for %i ms leaves %i requests open', async (_, isUpToDate, durationMs, open) => {
		const fixture = new LedgerFixture(33);
		await fixture.waitFor(fixture.client('e1').open(openRecord('r1')));
		fixture.directory.live.clear();
		fixture.directory.isUpToDate = isUpToDate;
		await fixture.clock.advance(durationMs);
		expect(fixture.state.open.size).toBe(open);
	});
});

describe('LedgerService: queries', () => {
	// Guards against a command line that shows stale records or records of another customer, and against unbounded results.
	it('answers the queries of the command line only at the leader', async () => {
		const fixture = new LedgerFixture(34);
		const client = fixture.client('e1');
		await fixture.waitFor(Promise.all([
			client.open(openRecord('r1')),
			client.close(closeRecord('r1')),
			client.open(openRecord('r2', {customer: 'other'})),
			client.close(closeRecord('r2')),
			client.open(openRecord('r3', {idempotent: false})),
			client.close(closeRecord('r3', {outcome: 'unknown', cost: 0, attempts: []})),
			client.open(openRecord('r4')),
			client.pin(pinRecord('s', 'v1')),
			client.pin(pinRecord('s', 'v2', {replaces: 'v1', cause: 'withdrawn'})),
		]));
		const cli = fixture.network.attach('cli');
		const runQuery = async (query: Parameters<typeof cli.call>[2], host = 'v1') => fixture.waitFor(cli.call(host, methods.query, query as never, 1000));
		expect(await runQuery({what: 'bills', customer: 'pulso'})).toMatchObject({bills: [{requestId: 'r1'}, {requestId: 'r3'}]});
		expect(await runQuery({what: 'bills', limit: 1})).toMatchObject({bills: [{requestId: 'r3'}]});
		expect(await runQuery({what: 'bills', limit: Number.NaN})).toMatchObject({bills: [{}, {}, {}]});
		expect(await runQuery({what: 'unknown'})).toMatchObject({bills: [{requestId: 'r3'}]});
		expect(await runQuery({what: 'open'})).toMatchObject({open: [{record: {requestId: 'r4'}, entry: 'e1'}]});
		expect(await runQuery({what: 'totals', customer: 'other'})).toMatchObject({totals: [{ref: 'small@1', answered: 1, cost: 0.25}]});
		expect(await runQuery({what: 'changes'})).toMatchObject({changes: [{from: 'v1', to: 'v2', cause: 'withdrawn'}]});
		expect(await runQuery({what: 'pin', session: pinRecord('s', '')})).toMatchObject({pin: {ref: 'v2', changes: 1}});
		expect(await runQuery({what: 'sizes'})).toEqual({
			sizes: {
				open: 1, keys: 0, pins: 1, totals: 2,
			},
		});
		await expect(runQuery({what: 'bills'}, 'v2')).rejects.toMatchObject({peerCode: 'not-leader', data: {leader: 'v1'}});
	});

	// Guards against a wait that ends before the close, or that continues after it.
	it('answers all waiting callers as soon as the request is closed', async () => {
		const fixture = new LedgerFixture(35);
		const client = fixture.client('e1');
		await fixture.waitFor(client.open(openRecord('r1', {key: 'k', idempotent: false})));
		const waits = Array.from({length: 3}, async () => fixture.client('e2').waitClosed('pulso', 'k', 'r1', 10_000));
		await fixture.clock.advance(3000);
		await fixture.waitFor(client.close(closeRecord('r1', {answer: 'text'})));
		const closedAt = fixture.clock.now();
		const results = await fixture.waitFor(Promise.all(waits));
		expect(results).toMatchObject(Array.from({length: 3}, () => ({status: 'closed', bill: {answer: 'text'}})));
		expect(fixture.clock.now() - closedAt).toBeLessThan(10);
		expect(await fixture.waitFor(fixture.client('e2').waitClosed('pulso', 'k', 'r0', 10_000))).toEqual({status: 'released'});
	});
});
