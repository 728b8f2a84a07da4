import {type HttpCapacity, measureHttpCapacity} from '../ledger/bench-capacity.js';
import {measureHttpOverhead} from '../ledger/bench-http.js';
import {type Load, requestsPerDaemon, simulateMinute} from '../ledger/bench-path.js';
import {type FillOptions, measureMemory} from '../ledger/bench-state.js';
import {quantile} from '../ledger/bench-support.js';

/** Traffic between one entry host and the ledger. */
export interface LedgerWire {
	readonly requestsPerSecond: number;
	readonly callsPerSecond: number;
	/** Bytes on the socket in both directions, with headers. */
	readonly bytesPerSecond: number;
	readonly logBytesPerRequest: number;
	readonly finishP50Ms: number;
	readonly finishP99Ms: number;
}

/** Measured traffic, CPU time and memory of the ledger. */
export interface LedgerSamples {
	/** By name of the setting; one sample for each request rate. */
	readonly wire: ReadonlyMap<string, readonly LedgerWire[]>;
	readonly batches: ReadonlyArray<readonly [records: number, capacity: HttpCapacity]>;
	/** Heap and time of a snapshot by kind of record; one sample for each number of records. */
	readonly memory: ReadonlyMap<string, ReadonlyArray<{readonly count: number; readonly bytes: number; readonly snapshotMs: number}>>;
}

const simulatedSeconds = 60;
const settings: ReadonlyArray<readonly [name: string, load: Omit<Load, 'commitMs' | 'rate'>]> = [
	['no linger (today)', {kind: 'plain', lingerMs: 0, workMs: 2000}],
	['linger 100 ms for opens and closes', {
		kind: 'plain', lingerMs: 100, workMs: 2000, closesLinger: true,
	}],
	['first request of a session, no linger', {kind: 'first of a session', lingerMs: 0, workMs: 2000}],
];
const memoryKinds: ReadonlyArray<readonly [name: string, kind: FillOptions['kind'], select: FillOptions['select']]> = [
	['open record', 'plain', records => records.slice(0, 1)],
	['session pin', 'first of a session', records => records.slice(0, 1)],
	['closed key', 'keyed', records => records],
];

async function measureWire(load: Omit<Load, 'commitMs' | 'rate'>, rate: number, headerBytes: number): Promise<LedgerWire> {
	const run = await simulateMinute({...load, commitMs: 3, rate});
	return {
		requestsPerSecond: rate,
		callsPerSecond: run.calls / simulatedSeconds,
		bytesPerSecond: (run.bytes + (run.calls * headerBytes)) / simulatedSeconds,
		logBytesPerRequest: run.logBytes / run.requests,
		finishP50Ms: quantile(run.steps.finish, 0.5),
		finishP99Ms: quantile(run.steps.finish, 0.99),
	};
}

/** Measures bytes sent and received by an entry host, CPU time of the leader and memory of a group. */
export async function measureLedger(): Promise<LedgerSamples> {
	const {bytes: headerBytes} = await measureHttpOverhead();
	const wire = new Map<string, LedgerWire[]>();
	for (const [name, load] of settings) {
		const samples: LedgerWire[] = [];
		for (const rate of [5, 10, requestsPerDaemon, 40]) {
			// eslint-disable-next-line no-await-in-loop -- one run after another
			samples.push(await measureWire(load, rate, headerBytes));
		}

		wire.set(name, samples);
	}

	const batches: Array<readonly [number, HttpCapacity]> = [];
	for (const records of [1, 2, 4, 8, 16]) {
		// eslint-disable-next-line no-await-in-loop -- one run after another
		batches.push([records, await measureHttpCapacity(records)]);
	}

	const memory = new Map(memoryKinds.map(([name, kind, select]) => [
		name, [10_000, 20_000, 40_000, 80_000].map(count => ({count, ...measureMemory({kind, count, select})})),
	] as const));
	return {wire, batches, memory};
}
