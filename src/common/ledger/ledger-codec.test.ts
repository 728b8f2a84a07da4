import fc from 'fast-check';
import {expect, it} from 'vitest';
import {closeRecord, openRecord, pinRecord} from '../../testing/ledger-records.js';
import {checkRecord, decodeBatch, encodeBatch} from './ledger-codec.js';
import {type EncodedBatch} from './ledger-command.js';
import {LedgerRecordError} from './ledger-errors.js';
import {type LedgerRecord} from './ledger-record.js';

const name = fc.string({minLength: 1, maxLength: 20, unit: 'grapheme'});
const maybe = fc.option(name, {nil: undefined});
const time = fc.integer({min: 0, max: 2_000_000_000_000});
const number = fc.oneof(fc.nat(), fc.double({min: 0, max: 1e6, noNaN: true}));
const requestId = fc.oneof(name, name.map(rest => `e1-2s-${rest}`), name.map(rest => `=${rest}`), name.map(rest => `e1-2s-=${rest}`));
const record: fc.Arbitrary<LedgerRecord> = fc.oneof(
	fc.record({
		type: fc.constant('open' as const), requestId, customer: name, service: name, session: maybe, key: maybe, bodyHash: maybe, idempotent: fc.boolean(),
	}),
	fc.record({
		type: fc.constant('close' as const), requestId, outcome: fc.constantFrom('answered', 'failed', 'cancelled', 'interrupted', 'unknown'), ref: maybe, cost: number, at: time,
		notRun: fc.constantFrom(undefined, true), answer: fc.option(fc.string({maxLength: 30}), {nil: undefined}),
		attempts: fc.array(fc.record({
			attemptId: requestId, ref: maybe, server: name, inputTokens: number, outputTokens: number, cost: number,
			outcome: fc.constantFrom('answered', 'escalated', 'failed', 'cancelled'),
		}), {maxLength: 3}),
	}),
	fc.tuple(fc.record({
		type: fc.constant('pin' as const), customer: name, service: name, session: name, ref: name, at: time,
	}), fc.option(fc.record({replaces: name, cause: name}), {nil: {replaces: undefined, cause: undefined}})).map(([pin, replacement]) => ({...pin, ...replacement})),
);

// Guards against a field that is lost or changed between the entry host and the log.
it('decodes an encoded batch to the same records', () => {
	fc.assert(fc.property(fc.array(record, {maxLength: 4}), records => {
		const batch = {
			entry: 'e1', incarnation: 100, sequence: 3, records,
		};
		const line = JSON.stringify(encodeBatch(batch));
		// JSON has no negative zero.
		expect(decodeBatch(JSON.parse(line) as EncodedBatch)).toEqual(JSON.parse(JSON.stringify(batch), (_, value: unknown) => value === 0 ? 0 : value));
	}), {seed: 20_263, numRuns: 500});
});

// Guards against a record that enters the log although the members cannot decode it.
it.each<[string, LedgerRecord]>([
	['a long customer', openRecord('r', {customer: 'x'.repeat(257)})],
	['an empty service', openRecord('r', {service: ''})],
	['a cost that is not a number', closeRecord('r', {cost: Number.NaN})],
	['too many attempts', closeRecord('r', {attempts: Array.from({length: 65}, () => closeRecord('r').attempts[0]!)})],
	['a replacement without a cause', pinRecord('s', 'v', {replaces: 'w'})],
])('refuses %s', (_, invalid) => {
	expect(() => {
		checkRecord(invalid);
	}).toThrow(LedgerRecordError);
});

// Guards against answers that fill the log: an answer above 16 KiB of UTF-8 is left out.
it.each([
	['x'.repeat(16_384), true],
	['x'.repeat(16_385), false],
	['é'.repeat(8193), false],
])('records an answer of at most 16 KiB', (answer, isKept) => {
	const batch = encodeBatch({
		entry: 'e1', incarnation: 1, sequence: 1, records: [closeRecord('r', {answer})],
	});
	expect(decodeBatch(batch).records[0]).toMatchObject({answer: isKept ? answer : undefined});
});
