import {type EncodedBatch, type EncodedRecord} from './ledger-command.js';
import {LedgerRecordError} from './ledger-errors.js';
import {
	maxAnswerBytes, maxAttempts, maxBatchRecords, maxNameLength,
} from './ledger-limits.js';
import {
	type AttemptUsage, type CloseRecord, type LedgerRecord, type OpenRecord, type PinRecord, type RequestOutcome,
} from './ledger-record.js';

/** Batch of records of one entry host incarnation. */
export interface LedgerBatch {
	readonly entry: string;
	/** Start time of the process in Unix milliseconds. */
	readonly incarnation: number;
	/** Number of the batch, without gaps from 1 for the first batch of the incarnation. */
	readonly sequence: number;
	readonly records: readonly LedgerRecord[];
}

type Field = EncodedRecord[number];

const kind = {
	open: 0, openOnce: 1, close: 2, pin: 3,
} as const;
const outcomes: readonly RequestOutcome[] = ['answered', 'failed', 'cancelled', 'interrupted', 'unknown'];
const attemptOutcomes: ReadonlyArray<AttemptUsage['outcome']> = ['answered', 'escalated', 'failed', 'cancelled'];

/** Prefix of the request ids of an entry host incarnation; ids that have it are stored without it. */
export function requestIdPrefix(entry: string, incarnation: number): string {
	return `${entry}-${incarnation.toString(36)}-`;
}

/**
Encodes a batch as compact arrays, because field names would double the size of a record. Times of records are stored as
whole milliseconds since the start of the process.
*/
export function encodeBatch(batch: LedgerBatch): EncodedBatch {
	const prefix = requestIdPrefix(batch.entry, batch.incarnation);
	return [batch.entry, batch.incarnation, batch.sequence, batch.records.map(record => encodeRecord(record, prefix, batch.incarnation))];
}

/** @throws LedgerRecordError when the batch is malformed. */
export function decodeBatch(encoded: EncodedBatch): LedgerBatch {
	check(Array.isArray(encoded) && encoded.length === 4, 'batch');
	const [entry, incarnation, sequence, records] = encoded;
	check(Array.isArray(records) && records.length <= maxBatchRecords, 'records');
	const prefix = requestIdPrefix(name(entry, 'entry'), nonNegativeInteger(incarnation, 'incarnation'));
	check(nonNegativeInteger(sequence, 'sequence') > 0, 'sequence');
	return {
		entry, incarnation, sequence, records: records.map(record => decodeRecord(record, prefix, incarnation)),
	};
}

/** @throws LedgerRecordError when the encoded record could not be decoded, for example because a name is too long. */
export function checkRecord(record: LedgerRecord): void {
	decodeRecord(encodeRecord(record, '', 0), '', 0);
}

/** Whether `checkRecord` accepts the record. */
export function isRecordValid(record: LedgerRecord): boolean {
	try {
		checkRecord(record);
		return true;
	} catch {
		return false;
	}
}

function encodeRecord(record: LedgerRecord, prefix: string, start: number): EncodedRecord {
	switch (record.type) {
		case 'open': {
			return trim([
				record.idempotent ? kind.open : kind.openOnce,
				encodeId(record.requestId, prefix),
				record.customer,
				record.service,
				record.session ?? '',
				record.key ?? '',
				record.bodyHash ?? '',
			]);
		}

		case 'close': {
			return encodeClose(record, prefix, start);
		}

		case 'pin': {
			return trim([kind.pin, record.customer, record.service, record.session, record.ref, Math.floor(record.at) - start, record.replaces ?? '', record.cause ?? '']);
		}
	}
}

function encodeClose(record: CloseRecord, prefix: string, start: number): EncodedRecord {
	const answer = record.answer !== undefined && isRecordable(record.answer) ? `=${record.answer}` : '';
	return trim([
		kind.close,
		encodeId(record.requestId, prefix),
		outcomes.indexOf(record.outcome),
		record.ref ?? '',
		record.cost,
		Math.floor(record.at) - start,
		record.attempts.map(attempt => [
			encodeId(attempt.attemptId, record.requestId),
			attempt.ref === record.ref ? 0 : (attempt.ref ?? ''),
			attempt.server,
			attempt.inputTokens,
			attempt.outputTokens,
			attempt.cost,
			attemptOutcomes.indexOf(attempt.outcome),
		]),
		record.notRun ? 1 : 0,
		answer,
	]);
}

function decodeRecord(fields: EncodedRecord, prefix: string, start: number): LedgerRecord {
	check(Array.isArray(fields), 'record');
	switch (fields[0] as number) {
		case kind.open:
		case kind.openOnce: {
			return decodeOpen(fields, prefix);
		}

		case kind.close: {
			return decodeClose(fields, prefix, start);
		}

		case kind.pin: {
			return decodePin(fields, start);
		}

		default: {
			throw new LedgerRecordError('record kind');
		}
	}
}

function decodeOpen([type, id, customer, service, session, key, bodyHash]: EncodedRecord, prefix: string): OpenRecord {
	return {
		type: 'open', requestId: decodeId(id, prefix), customer: name(customer, 'customer'), service: name(service, 'service'),
		session: optionalName(session, 'session'), key: optionalName(key, 'key'), bodyHash: optionalName(bodyHash, 'bodyHash'), idempotent: type === kind.open,
	};
}

function decodeClose([, id, outcome, ref, cost, at, attempts, notRun, answer]: EncodedRecord, prefix: string, start: number): CloseRecord {
	const requestId = decodeId(id, prefix);
	const closingRef = optionalName(ref, 'ref');
	check(Array.isArray(attempts ?? []) && ((attempts ?? []) as readonly unknown[]).length <= maxAttempts, 'attempts');
	return {
		type: 'close', requestId, outcome: enumValue(outcomes, outcome, 'outcome'), ref: closingRef, cost: finiteNumber(cost, 'cost'), at: finiteNumber(at, 'at') + start,
		attempts: ((attempts ?? []) as EncodedRecord[]).map(fields => decodeAttempt(fields, requestId, closingRef)),
		notRun: notRun === 1 ? true : undefined, answer: decodeAnswer(answer),
	};
}

function decodeAttempt([id, ref, server, input, output, cost, outcome]: EncodedRecord, requestId: string, closingRef: string | undefined): AttemptUsage {
	return {
		attemptId: decodeId(id, requestId), ref: ref === 0 ? closingRef : optionalName(ref, 'ref'), server: name(server, 'server'),
		inputTokens: finiteNumber(input, 'inputTokens'), outputTokens: finiteNumber(output, 'outputTokens'), cost: finiteNumber(cost, 'cost'),
		outcome: enumValue(attemptOutcomes, outcome, 'attempt outcome'),
	};
}

function decodePin([, customer, service, session, ref, at, replaces, cause]: EncodedRecord, start: number): PinRecord {
	const pin: PinRecord = {
		type: 'pin', customer: name(customer, 'customer'), service: name(service, 'service'), session: name(session, 'session'),
		ref: name(ref, 'ref'), at: finiteNumber(at, 'at') + start, replaces: optionalName(replaces, 'replaces'), cause: optionalName(cause, 'cause'),
	};
	check((pin.replaces === undefined) === (pin.cause === undefined), 'a replacement needs a cause');
	return pin;
}

function decodeAnswer(field: Field | undefined): string | undefined {
	if (field === undefined || field === '') {
		return undefined;
	}

	check(typeof field === 'string' && field.startsWith('=') && field.length <= maxAnswerBytes + 1, 'answer');
	return (field as string).slice(1);
}

function isRecordable(answer: string): boolean {
	return answer.length <= maxAnswerBytes && new TextEncoder().encode(answer).length <= maxAnswerBytes;
}

/** Removes the prefix. An id that does not have it is marked with a leading `=`. */
function encodeId(id: string, prefix: string): string {
	const rest = id.slice(prefix.length);
	return id.startsWith(prefix) && !rest.startsWith('=') ? rest : `=${id}`;
}

function decodeId(field: Field | undefined, prefix: string): string {
	check(typeof field === 'string', 'id');
	const id = (field as string).startsWith('=') ? (field as string).slice(1) : prefix + (field as string);
	return name(id, 'id');
}

/** Removes empty and zero fields at the end. */
function trim(fields: Field[]): Field[] {
	while (fields.at(-1) === '' || fields.at(-1) === 0) {
		fields.pop();
	}

	return fields;
}

function check(condition: boolean, what: string): void {
	if (!condition) {
		throw new LedgerRecordError(`malformed ledger record: ${what}`);
	}
}

function name(field: Field | undefined, what: string): string {
	check(typeof field === 'string' && field.length > 0 && field.length <= maxNameLength, what);
	return field as string;
}

function optionalName(field: Field | undefined, what: string): string | undefined {
	return field === undefined || field === '' ? undefined : name(field, what);
}

function finiteNumber(field: Field | undefined, what: string): number {
	check(field === undefined || Number.isFinite(field), what);
	return (field ?? 0) as number;
}

function nonNegativeInteger(field: Field | undefined, what: string): number {
	check(Number.isSafeInteger(field) && (field as number) >= 0, what);
	return field as number;
}

function enumValue<T>(values: readonly T[], field: Field | undefined, what: string): T {
	const value = values[(field ?? 0) as number];
	check(value !== undefined, what);
	return value!;
}
