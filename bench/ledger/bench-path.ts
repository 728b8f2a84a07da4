import {nullCounters} from '../../src/common/base/null-counters.js';
import {nullLogger} from '../../src/common/base/null-logger.js';
import {type Clock} from '../../src/common/base/clock.js';
import {LedgerClient} from '../../src/common/ledger/ledger-client.js';
import {type LedgerCommand} from '../../src/common/ledger/ledger-command.js';
import {type LedgerReply} from '../../src/common/ledger/ledger-reply.js';
import {LedgerService} from '../../src/common/ledger/ledger-service.js';
import {LedgerState} from '../../src/common/ledger/ledger-state.js';
import {RequestLedger} from '../../src/common/ledger/request-ledger.js';
import {SessionPins} from '../../src/common/ledger/session-pins.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {DelayedLog} from '../../src/testing/delayed-log.js';
import {LocalLog} from '../../src/testing/local-log.js';
import {
	BenchRandom, CountingNetwork, LiveDirectory, quantile, measureSeconds,
} from './bench-support.js';
import {
	incarnation, RecordFactory, type RequestKind, requestKinds,
} from './bench-records.js';

/** Clock whose timers never fire, for runs without delays. */
const clockWithoutTimers: Clock = {
	now: () => performance.now(),
	wallTime: () => 1_800_000_000_000 + Math.floor(performance.now()),
	setTimer: () => ({dispose: () => undefined}),
};

function createClient(network: CountingNetwork, clock: Clock, entry: string, lingerMs = 0): LedgerClient {
	return new LedgerClient({
		transport: network.attach(entry), clock, random: new BenchRandom(1), counters: nullCounters, voters: () => ['v1'],
	}, {entry, incarnation, lingerMs});
}

/** Prints records/s of the whole path from clients through service and log to the state machine on one core, without HTTP and disk. */
export async function reportClientPath(): Promise<void> {
	for (const [clients, concurrency] of [[1, 1], [1, 64], [370, 1], [370, 4]] as const) {
		const network = new CountingNetwork(clockWithoutTimers, 0);
		const state = new LedgerState();
		const log = new LocalLog<LedgerCommand, LedgerReply>('v1', state);
		const service = new LedgerService({
			log, state, directory: new LiveDirectory(), clock: clockWithoutTimers, counters: nullCounters, logger: nullLogger, transport: network.attach('v1'), group: 0,
		});
		const requests = 40_000;
		const requestsPerLoop = Math.ceil(requests / (clients * concurrency));
		// eslint-disable-next-line no-await-in-loop -- one run after another on one core
		const time = await measureSeconds(async () => {
			await Promise.all(Array.from({length: clients}, async (_, client) => {
				const ledger = createClient(network, clockWithoutTimers, `entry-${client}`);
				const factory = new RecordFactory(`entry-${client}`);
				await Promise.all(Array.from({length: concurrency}, async () => runRequests(ledger, factory, requestsPerLoop)));
			}));
		});
		service.dispose();
		const count = requestsPerLoop * clients * concurrency;
		console.log(
			`client and service path, ${clients} clients with ${concurrency} requests at a time: ${Math.round(count / time)} requests/s,`,
			`${Math.round(2 * count / time)} records/s, ${(2 * count / network.calls).toFixed(2)} records a batch`,
		);
	}
}

async function runRequests(ledger: LedgerClient, factory: RecordFactory, count: number): Promise<void> {
	for (let index = 0; index < count; index++) {
		const {open, close} = factory.createRequest('plain');
		// eslint-disable-next-line no-await-in-loop -- one request after another
		await ledger.open(open);
		// eslint-disable-next-line no-await-in-loop -- one request after another
		await ledger.close(close);
	}
}

/** Bytes that HTTP adds to the messages of one call, measured by `measureHttpOverhead`. */
export interface CallOverhead {
	readonly bytes: number;
}

/** Load of a simulated minute. */
export type Load = {kind: RequestKind; commitMs: number; lingerMs: number; workMs: number; closesLinger?: boolean; groups?: number; rate?: number};

/**
Simulates a minute of one daemon and one group, with Poisson arrivals and 1 ms network delay one way to the leader. `rate` is in
requests/s; the default is the daemon's share of the target load.
*/
export async function simulateMinute({kind, commitMs, lingerMs, workMs, closesLinger, groups = 1, rate = requestsPerDaemon}: Load) {
	const clock = new ManualClock();
	const network = new CountingNetwork(clock, 1);
	const state = new LedgerState();
	const log = new DelayedLog<LedgerCommand, LedgerReply>(clock);
	log.commitMs = commitMs;
	const service = new LedgerService({
		log: log.join('v1', state), state, directory: new LiveDirectory(), clock, counters: nullCounters, logger: nullLogger, transport: network.attach('v1'), group: 0,
	});
	log.elect('v1');
	const client = createClient(network, clock, 'entry-a1', lingerMs);
	const ledger = new RequestLedger(client, clock);
	const pins = new SessionPins(client, clock);
	const factory = new RecordFactory('entry-a1');
	const random = new BenchRandom(7);
	const steps = {pin: [] as number[], begin: [] as number[], finish: [] as number[]};
	const request = async () => {
		const {open, close} = factory.createRequest(kind);
		const start = clock.now();
		if (kind === 'first of a session') {
			await pins.resolve({customer: open.customer, service: open.service, session: open.session!}, {refusal: () => undefined, choose: () => close.ref!});
		}

		const pinnedAt = clock.now();
		const result = await ledger.begin(open);
		const begunAt = clock.now();
		if (result.status !== 'run') {
			throw new Error(`the ledger did not open the request: ${result.status}`);
		}

		result.request.startAttempt();
		await new Promise<void>(resolve => {
			clock.setTimer(workMs * (0.5 + random.next()), resolve);
		});
		const answeredAt = clock.now();
		await result.request.finish(close, {mayLinger: closesLinger});
		steps.pin.push(pinnedAt - start);
		steps.begin.push(begunAt - pinnedAt);
		steps.finish.push(clock.now() - answeredAt);
	};

	const requests: Array<Promise<void>> = [];
	const schedule = (): void => {
		clock.setTimer(-Math.log(1 - random.next()) * 1000 * groups / rate, () => {
			if (clock.now() < 60_000) {
				requests.push(request());
				schedule();
			}
		});
	};

	schedule();
	await clock.advance(80_000);
	await Promise.all(requests);
	service.dispose();
	return {
		steps, requests: requests.length, calls: network.calls, bytes: network.bytes, logBytes: log.entries.reduce((sum, entry) => sum + JSON.stringify(entry.command).length, 0),
	};
}

/** Target load of one daemon: 8,000 requests/s over 370 daemons. */
export const requestsPerDaemon = 8000 / 370;

/** Prints the latency that each ledger step adds, for several commit times. */
export async function reportLatency(): Promise<void> {
	for (const kind of ['plain', 'keyed', 'non-idempotent', 'first of a session'] as const) {
		for (const commitMs of [1, 3, 5]) {
			// eslint-disable-next-line no-await-in-loop -- one run after another on one core
			const {steps} = await simulateMinute({
				kind, commitMs, lingerMs: 0, workMs: 2000,
			});
			const text = Object.entries(steps).map(([step, values]) => `${step} ${quantile(values, 0.5).toFixed(1)} / ${quantile(values, 0.99).toFixed(1)}`);
			console.log(`added latency in ms (median / p99), ${kind}, commit ${commitMs} ms: ${text.join(', ')}`);
		}
	}
}

/** Prints wire and log bytes of one daemon at its share of the target load. */
export async function reportWireBytes(overhead: CallOverhead): Promise<void> {
	const loads: Array<Omit<Load, 'commitMs'>> = requestKinds.map(kind => ({kind, lingerMs: 0, workMs: 2000}));
	for (const lingerMs of [20, 50, 100, 200]) {
		loads.push({kind: 'plain', lingerMs, workMs: 2000}, {
			kind: 'plain', lingerMs, workMs: 2000, closesLinger: true,
		});
	}

	for (const groups of [2, 4]) {
		loads.push({
			kind: 'plain', lingerMs: 100, workMs: 2000, closesLinger: true, groups,
		});
	}

	for (const load of loads) {
		// eslint-disable-next-line no-await-in-loop -- one run after another on one core
		const run = await simulateMinute({...load, commitMs: 3});
		const {kind, lingerMs, closesLinger, groups = 1} = load;
		const messages = run.bytes / run.requests;
		const total = messages + (run.calls * overhead.bytes / run.requests);
		console.log(
			`wire, ${kind}, ${groups} groups, linger ${lingerMs} ms${closesLinger ? ' for closes too' : ''}: ${(run.calls / run.requests).toFixed(2)} calls a request;`,
			`messages ${messages.toFixed(0)} bytes, with HTTP ${total.toFixed(0)} bytes a request, ${(total * requestsPerDaemon / 1000).toFixed(1)} KB/s a daemon;`,
			`log ${(run.logBytes / run.requests).toFixed(0)} bytes a request, ${(run.logBytes * 8000 / run.requests / 1e6).toFixed(2)} MB/s in all;`,
			`${Math.round(run.calls * groups * 370 / 60)} batches/s in all; finish ${quantile(run.steps.finish, 0.5).toFixed(0)} / ${quantile(run.steps.finish, 0.99).toFixed(0)} ms`,
		);
	}
}
