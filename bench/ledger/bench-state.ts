import {Buffer} from 'node:buffer';
import {encodeBatch} from '../../src/common/ledger/ledger-codec.js';
import {type LedgerCommand} from '../../src/common/ledger/ledger-command.js';
import {TotalsTable} from '../../src/common/ledger/totals-table.js';
import {LedgerState} from '../../src/common/ledger/ledger-state.js';
import {heapUsed, measureSeconds} from './bench-support.js';
import {
	incarnation, RecordFactory, toRecords, recordTime, type RequestKind, requestKinds,
} from './bench-records.js';

/** Creates the commands of one entry host, encoded as in the log. */
function createCommands(kind: RequestKind, requests: number, batchSize: number): string[] {
	const factory = new RecordFactory('entry-a1');
	const records = Array.from({length: requests}, () => toRecords(factory.createRequest(kind))).flat();
	const result: string[] = [];
	for (let start = 0; start < records.length; start += batchSize) {
		const batch = encodeBatch({
			entry: 'entry-a1', incarnation, sequence: result.length + 1, records: records.slice(start, start + batchSize),
		});
		result.push(JSON.stringify(['batch', recordTime + result.length, batch] satisfies LedgerCommand));
	}

	return result;
}

/** Prints records/s of one state machine, including JSON decoding. */
export async function reportStateMachine(): Promise<void> {
	for (const [kind, batchSize] of [['plain', 1], ['plain', 4], ['plain', 64], ['escalated', 1], ['keyed', 1], ['session', 1]] as const) {
		const requests = 60_000;
		const lines = createCommands(kind, requests, batchSize);
		const rates: number[] = [];
		for (let run = 0; run < 3; run++) {
			const state = new LedgerState();
			// eslint-disable-next-line no-await-in-loop -- one run after another on one core
			const seconds = await measureSeconds(() => {
				for (const [index, line] of lines.entries()) {
					state.apply(index + 1, JSON.parse(line) as LedgerCommand);
				}
			});
			rates.push(requests * 2 / seconds);
		}

		console.log(`state machine, ${kind}, ${batchSize} records a batch: ${Math.round(Math.max(...rates))} records/s (best of 3; worst ${Math.round(Math.min(...rates))})`);
	}
}

/** Prints heap and snapshot time of a state near its limits, without recorded answers. Snapshots block the event loop of a voter. */
export function reportFullState(): void {
	const state = new LedgerState();
	const before = heapUsed();
	const fillings: Array<[RequestKind, number, (records: ReturnType<typeof toRecords>) => ReturnType<typeof toRecords>, string]> = [
		['first of a session', 990_000, records => records.slice(0, 1), 'entry-p1'],
		['keyed', 490_000, records => records, 'entry-k1'],
		['session', 190_000, records => records.slice(0, 1), 'entry-o1'],
	];
	for (const [kind, count, select, entry] of fillings) {
		fill(state, {
			kind, count, select, entry,
		});
	}

	const heap = heapUsed() - before;
	const start = performance.now();
	const text = JSON.stringify(state.snapshot());
	console.log(`full state: heap ${Math.round(heap / 1e6)} MB, snapshot ${Math.round(text.length / 1e6)} MB in ${Math.round(performance.now() - start)} ms`);
}

function reportTotalsMemory(): void {
	const {open, close} = new RecordFactory('entry-a1').createRequest('plain');
	const table = new TotalsTable(100_000);
	const before = heapUsed();
	for (let row = 0; row < 50_000; row++) {
		table.add({
			...close, customer: open.customer, service: `service-${row}`, entry: 'entry-a1',
		}, recordTime);
	}

	const after = heapUsed();
	console.log(`memory, totals row: ${Math.round((after - before) / table.size)} bytes`);
}

/** Prints bytes of heap per open record, key, pin and bill, and the time of a snapshot. */
export async function reportMemory(): Promise<void> {
	reportTotalsMemory();
	const count = 50_000;
	const rows: Array<[string, RequestKind, (records: ReturnType<typeof toRecords>) => ReturnType<typeof toRecords>]> = [
		['open record', 'plain', records => records.slice(0, 1)],
		['open record with session', 'session', records => records.slice(0, 1)],
		['running key with its open record', 'keyed', records => records.slice(0, 1)],
		['closed key without answer', 'keyed', records => records],
		['closed key with 1 KiB answer', 'keyed, 1 KiB answer', records => records],
		['pin', 'first of a session', records => records.slice(0, 1)],
	];
	for (const [name, kind, select] of rows) {
		const {bytes, snapshotBytes, snapshotMs} = measureMemory({kind, count, select});
		console.log(`memory, ${name}: ${Math.round(bytes / count)} bytes; snapshot ${Math.round(snapshotBytes / count)} bytes each, ${snapshotMs.toFixed(0)} ms for ${count}`);
	}

	const state = new LedgerState();
	const before = heapUsed();
	fill(state, {kind: 'plain', count: 20_000, select: records => records});
	console.log(`memory, bill: ${Math.round((heapUsed() - before) / 1000)} bytes (1,000 kept of 20,000)`);
	if (state.open.size > 0) {
		throw new Error('open records remain after all requests were closed');
	}
}

/** Measures heap, snapshot size and snapshot time of a state filled with records. */
export function measureMemory(options: FillOptions): {bytes: number; snapshotBytes: number; snapshotMs: number} {
	const state = new LedgerState();
	const before = heapUsed();
	fill(state, options);
	const bytes = heapUsed() - before;
	const start = performance.now();
	const snapshotBytes = JSON.stringify(state.snapshot()).length;
	return {bytes, snapshotBytes, snapshotMs: performance.now() - start};
}

/** Records to add to a state; `select` chooses among the records of each request. */
export type FillOptions = {kind: RequestKind; count: number; select: (records: ReturnType<typeof toRecords>) => ReturnType<typeof toRecords>; entry?: string};

function fill(state: LedgerState, {kind, count, select, entry = 'entry-a1'}: FillOptions): void {
	const factory = new RecordFactory(entry);
	for (let sequence = 1; sequence <= count; sequence++) {
		const batch = encodeBatch({
			entry, incarnation, sequence, records: select(toRecords(factory.createRequest(kind))),
		});
		const line = JSON.stringify(['batch', recordTime, batch] satisfies LedgerCommand);
		const reply = state.apply(sequence, JSON.parse(line) as LedgerCommand);
		if (!('applied' in reply)) {
			throw new Error(`the ledger state refused a batch: ${JSON.stringify(reply)}`);
		}
	}
}

/** Prints log bytes for each kind of request: with one record per batch, and with all records of a request in one batch. */
export function reportLogBytes(): void {
	for (const kind of requestKinds) {
		const separate = createCommands(kind, 1, 1);
		const [together] = createCommands(kind, 1, 3);
		const sizes = separate.map(line => Buffer.byteLength(line));
		const total = sizes.reduce((sum, size) => sum + size, 0);
		console.log(`log bytes, ${kind}: ${total} a request in ${sizes.length} entries (${sizes.join(' + ')}); ${Buffer.byteLength(together!)} in one entry`);
	}
}
