import {expect, it} from 'vitest';
import {LedgerFixture} from '../../testing/ledger-fixture.js';
import {closeRecord, openRecord, pinRecord} from '../../testing/ledger-records.js';
import {LedgerGroups} from './ledger-groups.js';
import {LedgerFencedError, LedgerRecordError} from './ledger-errors.js';

async function createGroups() {
	const fixtures = [new LedgerFixture(41), new LedgerFixture(42), new LedgerFixture(43)];
	const groups = new LedgerGroups(fixtures.map(fixture => fixture.client('e1')));
	const run = async <T>(call: Promise<T>) => {
		const advance = async () => Promise.all(fixtures.map(async fixture => fixture.clock.advance(500)));
		void Promise.allSettled([call]);
		await advance();
		return call;
	};

	return {fixtures, groups, run};
}

const customers = Array.from({length: 12}, (_, index) => `customer-${index}`);

// Guards against spreading the records of a customer over several groups, where keys and pins would not be found.
it('sends all records of a customer to one group', async () => {
	const {fixtures, groups, run} = await createGroups();
	await run(Promise.all(customers.flatMap(customer => [
		groups.open(openRecord(`${customer}/1`, {customer})),
		groups.open(openRecord(`${customer}/2`, {customer})),
		groups.close(closeRecord(`${customer}/1`)),
		groups.pin(pinRecord('s', 'v1', {customer})),
	])));
	for (const customer of customers) {
		const withPin = fixtures.filter(({state}) => state.pins.get({customer, service: 'summaries', session: 's'}));
		expect(withPin).toHaveLength(1);
		expect([...withPin[0]!.state.bills].filter(bill => bill.customer === customer)).toHaveLength(1);
		expect(withPin[0]!.state.open.has(`${customer}/2`)).toBe(true);
	}

	expect(fixtures.every(({state}) => state.open.size > 0)).toBe(true);
	expect(groups.activeRequests).toBe(12);
});

// Guards against a memory leak: an entry that stays in the map after a request is refused or closed.
it('removes a request from its map after the request is closed or refused', async () => {
	const {groups, run} = await createGroups();
	const keyed = {key: 'k', bodyHash: 'a'};
	await run(Promise.all([groups.open(openRecord('r1', keyed)), groups.open(openRecord('r2', keyed))]));
	await expect(groups.close(closeRecord('r1', {cost: Number.NaN}))).rejects.toThrow(LedgerRecordError);
	expect(await run(groups.close(closeRecord('r1')))).toEqual({status: 'closed'});
	expect(groups.activeRequests).toBe(0);
	expect(await groups.close(closeRecord('r1'))).toEqual({status: 'already-closed'});
});

// Guards against an entry host that continues to use the other groups after one of them has fenced it.
it('is fenced as soon as one group has fenced it', async () => {
	const {fixtures, groups, run} = await createGroups();
	let fences = 0;
	groups.onFenced(() => fences++);
	for (const fixture of fixtures) {
		fixture.directory.expire('e1', 1);
	}

	await run(Promise.resolve());
	const opens = customers.map(async customer => groups.open(openRecord(customer, {customer})));
	const results = await run(Promise.allSettled(opens));
	expect(results.every(result => result.status === 'rejected' && result.reason instanceof LedgerFencedError)).toBe(true);
	expect([groups.isFenced, fences, groups.activeRequests]).toEqual([true, 1, 0]);
});
