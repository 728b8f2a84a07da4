import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import {encodeBatch} from '../../src/common/ledger/ledger-codec.js';
import {type EncodedBatch} from '../../src/common/ledger/ledger-command.js';
import {LedgerState} from '../../src/common/ledger/ledger-state.js';
import {
	incarnation, RecordFactory, toRecords, recordTime,
} from './bench-records.js';
import {type HttpWorkerData} from './http-worker-data.js';

const connections = 60;
const recordsPerConnection = 1200;

function createBodies(batchSize: number): string[][] {
	return Array.from({length: connections}, (_, connection) => {
		const entry = `entry-${connection}`;
		const factory = new RecordFactory(entry);
		const records = Array.from({length: recordsPerConnection / 2}, () => toRecords(factory.createRequest('plain'))).flat();
		const lines: string[] = [];
		for (let start = 0; start < records.length; start += batchSize) {
			const params = encodeBatch({
				entry, incarnation, sequence: lines.length + 1, records: records.slice(start, start + batchSize),
			});
			lines.push(JSON.stringify({
				jsonrpc: '2.0', id: lines.length, method: 'ledger.append', params,
			}));
		}

		return lines;
	});
}

/** Prints records/s of a leader behind HTTP/1.1 on one thread, without replication and disk. Another thread sends the batches. */
export async function reportHttpCapacity(): Promise<void> {
	for (const batchSize of [1, 4, 16]) {
		// eslint-disable-next-line no-await-in-loop -- one run after another
		const result = await measureHttpCapacity(batchSize);
		console.log(
			`leader behind HTTP, ${batchSize} records a batch: ${Math.round(result.recordsPerSecond)} records/s, busy ${(result.busyShare * 100).toFixed(0)} % of a core,`,
			`so ${Math.round(batchSize / result.batchUs * 1e6)} records/s and ${Math.round(1e6 / result.batchUs)} batches/s on a full core`,
		);
	}
}

/** Throughput of a leader behind HTTP/1.1 on one thread. */
export interface HttpCapacity {
	readonly recordsPerSecond: number;
	readonly busyShare: number;
	/** Busy time of the leader's thread per batch, in microseconds. */
	readonly batchUs: number;
}

/** Sends batches from another thread to a leader without replication and disk. */
export async function measureHttpCapacity(batchSize: number): Promise<HttpCapacity> {
	const state = new LedgerState();
	let index = 0;
	const server = createServer((req, res) => {
		const chunks: Uint8Array[] = [];
		req.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		req.once('end', () => {
			const {id, params} = JSON.parse(Buffer.concat(chunks).toString()) as {id: number; params: EncodedBatch};
			const body = JSON.stringify({jsonrpc: '2.0', id, result: state.apply(++index, ['batch', recordTime + index, params])});
			res.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
			res.end(body);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const workerData: HttpWorkerData = {port: (server.address() as AddressInfo).port, bodies: createBodies(batchSize)};
	const start = performance.now();
	const before = performance.eventLoopUtilization();
	const worker = new Worker(new URL('http-worker.js', import.meta.url), {workerData});
	await once(worker, 'message');
	const seconds = (performance.now() - start) / 1000;
	const {active} = performance.eventLoopUtilization(before);
	await worker.terminate();
	server.close();
	const records = connections * recordsPerConnection;
	return {recordsPerSecond: records / seconds, busyShare: active / seconds / 1000, batchUs: active * 1000 / index};
}
