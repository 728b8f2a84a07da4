import {describe, expect, it} from 'vitest';
import {closeRecord, openRecord, pinRecord} from '../../testing/ledger-records.js';
import {encodeBatch} from './ledger-codec.js';
import {defaultLedgerLimits, type LedgerLimits} from './ledger-limits.js';
import {type LedgerRecord} from './ledger-record.js';
import {LedgerState} from './ledger-state.js';

const hour = 3_600_000;
const start = 1_800_000_000_000;

/** Applies batches of entry hosts, with consecutive sequence numbers. */
class Driver {
	state: LedgerState;
	private readonly _sequences = new Map<string, number>();

	constructor(limits: Partial<LedgerLimits> = {}) {
		this.state = new LedgerState({...defaultLedgerLimits, ...limits});
	}

	send(at: number, records: readonly LedgerRecord[], entry = 'e1', sequence = (this._sequences.get(entry) ?? 0) + 1) {
		this._sequences.set(entry, sequence);
		return this.state.apply(0, ['batch', start + at, encodeBatch({
			entry, incarnation: 1, sequence, records,
		})]);
	}

	fence(at: number, entry = 'e1') {
		return this.state.apply(0, ['fence', start + at, entry, 1]);
	}
}

describe('LedgerState: batches', () => {
	// Guards against a record that is applied twice, or after a later one, when messages are duplicated or reordered.
	it('applies each batch once, repeats the results of the last one and refuses all others', () => {
		const driver = new Driver();
		expect(driver.send(0, [openRecord('r1')])).toEqual({applied: [0]});
		expect(driver.send(1, [closeRecord('r1'), openRecord('r2')])).toEqual({applied: [1, 0]});
		expect(driver.send(2, [closeRecord('r1'), openRecord('r2')], 'e1', 2)).toEqual({applied: [1, 0]});
		expect(driver.send(3, [openRecord('r1')], 'e1', 1)).toEqual({refused: 'stale'});
		expect(driver.send(4, [openRecord('r4')], 'e1', 4)).toEqual({refused: 'gap'});
		expect([...driver.state.open.keys()]).toEqual(['r2']);
		expect([...driver.state.bills]).toHaveLength(1);
	});

	// Guards against a batch that makes all members fail, and against a refused batch that uses its sequence number.
	it.each([['not an array', 'x'], ['a record of an unknown kind', ['e1', 1, 1, [[9]]]], ['a negative sequence', ['e1', 1, -1, []]]])('refuses %s without using the sequence number', (_, batch) => {
		const driver = new Driver();
		expect(driver.state.apply(0, ['batch', start, batch as never])).toEqual({refused: 'malformed'});
		expect(driver.send(0, [openRecord('r1')])).toEqual({applied: [0]});
	});

	// Guards against an entry host that closes a request of another one.
	it('closes a request only for the incarnation that opened it', () => {
		const driver = new Driver();
		driver.send(0, [openRecord('r1')]);
		expect(driver.send(1, [closeRecord('r1')], 'e2')).toEqual({applied: [2]});
		expect(driver.state.open.size).toBe(1);
	});
});

describe('LedgerState: fences', () => {
	// Guards against requests of a lost entry host that stay open or are billed as answered.
	it.each([
		[true, 'interrupted'],
		[false, 'unknown'],
	])('closes an open request of a lost entry host (idempotent: %s) as %s', (idempotent, outcome) => {
		const driver = new Driver();
		driver.send(0, [openRecord('r1', {idempotent})]);
		driver.send(0, [openRecord('r2')], 'e2');
		expect(driver.fence(1)).toEqual({fenced: 1});
		expect([...driver.state.bills]).toMatchObject([{requestId: 'r1', outcome, cost: 0}]);
		expect([...driver.state.unknown]).toHaveLength(idempotent ? 0 : 1);
		expect([...driver.state.open.keys()]).toEqual(['r2']);
	});

	// Guards against a second bill from a fenced entry host that is still running: the first close wins.
	it('refuses all batches of a fenced incarnation, including a repetition of its last one', () => {
		const driver = new Driver();
		driver.send(0, [openRecord('r1')]);
		driver.fence(1);
		expect(driver.send(2, [closeRecord('r1')])).toEqual({refused: 'fenced'});
		expect(driver.send(2, [openRecord('r1')], 'e1', 1)).toEqual({refused: 'fenced'});
		expect(driver.fence(3)).toEqual({fenced: 0});
		expect([...driver.state.bills]).toHaveLength(1);
	});

	// Guards against requests that stay open because their entry host restarted before it was fenced.
	it('closes the requests of an earlier incarnation when the next one sends its first batch', () => {
		const driver = new Driver();
		driver.send(0, [openRecord('r1')]);
		const batch = (incarnation: number) => encodeBatch({
			entry: 'e1', incarnation, sequence: 1, records: [openRecord('r2')],
		});
		driver.state.apply(0, ['batch', start, batch(2)]);
		expect([...driver.state.open.keys()]).toEqual(['r2']);
		expect(driver.state.apply(0, ['batch', start, batch(1)])).toEqual({refused: 'fenced'});
		expect(driver.state.apply(0, ['fence', start, 'e1', 1])).toEqual({fenced: 0});
	});

	// Guards against accepting a fenced incarnation again after its fence was dropped to bound memory.
	it('refuses an old incarnation whose fence was dropped', () => {
		const driver = new Driver({maxIncarnations: 2});
		for (const entry of ['e1', 'e2', 'e3']) {
			driver.fence(0, entry);
		}

		expect(driver.send(1, [openRecord('r1')], 'e1')).toEqual({refused: 'fenced'});
	});
});

describe('LedgerState: keys', () => {
	const keyed = (requestId: string, fields = {}) => openRecord(requestId, {
		key: 'k', bodyHash: 'a', idempotent: false, ...fields,
	});

	// Guards against a resend with the same key that runs the request twice, or is refused although the request never ran.
	it.each<[string, (driver: Driver) => void, unknown]>([
		['while it runs', () => undefined, {r: 'r1'}],
		['after it was answered', driver => {
			driver.send(1, [closeRecord('r1', {answer: 'text'})]);
		}, {b: expect.objectContaining({requestId: 'r1', answer: 'text'}) as unknown, k: 'k'}],
		['after its entry host was lost', driver => {
			driver.fence(1);
		}, {b: expect.objectContaining({requestId: 'r1', outcome: 'unknown'}) as unknown, k: 'k'}],
		['after it certainly did not run', driver => {
			driver.send(1, [closeRecord('r1', {outcome: 'failed', notRun: true})]);
		}, 0],
	])('answers a resend %s', (_, before, result) => {
		const driver = new Driver();
		driver.send(0, [keyed('r1')]);
		before(driver);
		expect(driver.send(2, [keyed('r3')], 'e2')).toEqual({applied: [result]});
	});

	// Guards against one key for two different requests, and against keys that are shared between customers.
	it('refuses a key with another body, and keeps the keys of customers apart', () => {
		const driver = new Driver();
		driver.send(0, [keyed('r1')]);
		expect(driver.send(1, [keyed('r2', {bodyHash: 'b'}), keyed('r3', {customer: 'other', bodyHash: 'b'})])).toEqual({applied: [3, 0]});
		driver.send(2, [closeRecord('r1')]);
		expect(driver.send(3, [keyed('r4', {bodyHash: 'b'})])).toEqual({applied: [3]});
	});

	// Guards against a key that is freed too early, and against keys that are kept for ever.
	it('keeps a key for 24 hours after the close', () => {
		const driver = new Driver();
		driver.send(0, [keyed('r1')]);
		driver.send(30 * hour, [closeRecord('r1')]);
		driver.send(53.9 * hour, [keyed('r2')], 'e2');
		expect(driver.state.keys.size).toBe(1);
		expect(driver.send(54.5 * hour, [keyed('r3')], 'e2')).toEqual({applied: [0]});
	});

	// Guards against answers that fill the memory: the oldest are dropped first, and their keys stay.
	it('drops the oldest answers above the limit', () => {
		const driver = new Driver({maxAnswerLength: 10});
		for (const id of ['r1', 'r2', 'r3']) {
			driver.send(0, [keyed(id, {key: id}), closeRecord(id, {answer: 'abcde'})]);
		}

		expect(['r1', 'r2', 'r3'].map(id => driver.state.keys.get('pulso', id)?.answer)).toEqual([undefined, 'abcde', 'abcde']);
	});

	// Guards against unbounded tables, and against dropping a key to make room.
	it.each([
		[{maxOpen: 1}, 'open'],
		[{maxKeys: 1}, 'keys'],
	])('refuses an open at the limit %j', (limits, name) => {
		const driver = new Driver(limits);
		driver.send(0, [keyed('r1')]);
		expect(driver.send(1, [keyed('r2', {key: 'k2'})])).toEqual({applied: [{x: name}]});
	});
});

describe('LedgerState: pins and totals', () => {
	// Guards against a session whose version is replaced without a cause, or twice for the same cause.
	it('keeps the first pin and replaces only the version named in the replacement', () => {
		const driver = new Driver();
		const replace = (ref: string) => pinRecord('s', ref, {replaces: 'small@1', cause: 'withdrawn'});
		expect(driver.send(0, [pinRecord('s', 'small@1'), pinRecord('s', 'large@1')])).toEqual({applied: [{v: 'small@1'}, {v: 'small@1'}]});
		expect(driver.send(1, [replace('small@2'), replace('small@3')])).toEqual({applied: [{v: 'small@2'}, {v: 'small@2'}]});
		expect([...driver.state.pins.changes]).toMatchObject([{from: 'small@1', to: 'small@2', cause: 'withdrawn'}]);
		expect(driver.send(2, [openRecord('r1', {session: 's'})])).toEqual({applied: [{p: 'small@2'}]});
	});

	// Guards against a pin that expires while its session is in use.
	it('expires a pin 24 hours after its last use', () => {
		const driver = new Driver();
		driver.send(0, [pinRecord('used', 'small@1'), pinRecord('unused', 'small@1')]);
		driver.send(20 * hour, [openRecord('r1', {session: 'used'})]);
		driver.send(24.5 * hour, []);
		expect(driver.state.pins.get(pinRecord('used', ''))).toMatchObject({ref: 'small@1'});
		expect(driver.state.pins.get(pinRecord('unused', ''))).toBeUndefined();
	});

	// Guards against a full table that drops the pin of a session in use, or refuses a new session to keep an unused pin.
	it('drops pins unused for an hour at the limit, and refuses new pins if there are none', () => {
		const driver = new Driver({maxPins: 2});
		driver.send(0, [pinRecord('a', 'small@1'), pinRecord('b', 'small@1')]);
		expect(driver.send(0.5 * hour, [pinRecord('c', 'small@1')])).toEqual({applied: [{x: 'pins'}]});
		expect(driver.send(1.5 * hour, [pinRecord('c', 'small@1')])).toEqual({applied: [{v: 'small@1'}]});
	});

	// Guards against keeping or expiring records at the wrong time when a clock goes back.
	it('has a time that never decreases', () => {
		const driver = new Driver();
		driver.send(10 * hour, []);
		driver.send(0, [pinRecord('s', 'small@1')]);
		expect(driver.state.time).toBe(start + (10 * hour));
		expect(driver.state.pins.get(pinRecord('s', ''))?.usedAt).toBe(start + (10 * hour));
	});

	// Guards against costs of discarded attempts that are missing or counted for the wrong version.
	it('totals requests by the version of the bill, and costs by the version of each attempt', () => {
		const driver = new Driver({maxTotalRows: 3});
		const escalated = {
			attemptId: 'r1.0', ref: 'tiny@1', server: 'b1', inputTokens: 10, outputTokens: 5, cost: 0.5, outcome: 'escalated' as const,
		};
		driver.send(0, [openRecord('r1'), closeRecord('r1', {attempts: [escalated, ...closeRecord('r1').attempts]})]);
		expect([...driver.state.totals.rows()]).toMatchObject([
			{
				ref: 'small@1', answered: 1, attempts: 1, cost: 0.25, outputTokens: 20,
			},
			{
				ref: 'tiny@1', answered: 0, attempts: 1, cost: 0.5, outputTokens: 5,
			},
		]);
		driver.send(25 * hour, [openRecord('r2'), closeRecord('r2'), openRecord('r3', {service: 'other'}), closeRecord('r3')]);
		expect([...driver.state.totals.rows()]).toHaveLength(2);
	});

	// Guards against state that is missing from a snapshot: a restored member must behave exactly like the others.
	it('behaves the same after a snapshot as after the log', () => {
		const original = new Driver({maxAnswerLength: 10});
		const copy = new Driver({maxAnswerLength: 10});
		for (let step = 0; step < 60; step++) {
			if (step === 30) {
				const snapshot = JSON.stringify(original.state.snapshot());
				copy.state.restore(JSON.parse(snapshot));
			}

			const id = `r${step}`;
			// The copy has not applied the commands before the snapshot.
			const replies = [original, ...(step < 30 ? [] : [copy])].map(driver => driver.send(step * hour, [
				openRecord(id, {key: `k${step % 7}`, session: `s${step % 5}`}),
				pinRecord(`s${step % 5}`, `v${step}`),
				closeRecord(`r${step - 3}`, {answer: 'abcde'}),
			], 'e1', step + 1));
			expect(JSON.stringify(replies.at(-1))).toBe(JSON.stringify(replies[0]));
		}

		const snapshots = [original, copy].map(({state}) => JSON.stringify(state.snapshot()));
		expect(JSON.parse(snapshots[1]!)).toEqual(JSON.parse(snapshots[0]!));
	});
});
