import {type RandomSource} from '../common/base/random-source.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type Placement} from '../common/forwarding/placement.js';
import {ServerRecord} from '../common/forwarding/server-pool.js';
import {EngineQueue, SimulationTime} from './engine-queue.js';
import {testBackend} from './forwarder-fixture.js';

/** A deployment and its load. */
export interface PlacedLoad {
	readonly seed: number;
	readonly hosts: number;
	readonly servers: number;
	readonly zones: number;
	/** Requests a second of each host. */
	readonly perHost: number;
	/** Number of prompt parts that many requests share, and the share of the requests with the first of them; the others are equally frequent. */
	readonly parts: number;
	readonly firstShare?: number;
	/** Share of the time of all servers that the requests take if every shared part is kept. */
	readonly utilization: number;
}

/** Result of a played load. */
export interface PlacedOutcome {
	/** Time that 95 % of the requests take at most, relative to the time for which a server works on a request with a kept part. */
	readonly p95: number;
	/** Time for which the busiest server works, relative to the mean. */
	readonly busiest: number;
	/** Share of the tokens of shared parts that were processed again. */
	readonly processedAgain: number;
}

const durationMs = 30_000;
/** Time in milliseconds that is not counted, in which parts are processed for the first time. */
const warmUpMs = 8000;
const partTokens = 6000;
const ownTokens = 3000;
/** Time in milliseconds for which a server keeps a part that nobody uses. */
const keptMs = 7000;

/** Plays requests with shared prompt parts from hosts that see only their own requests against servers that process one prompt at a time. */
export function playPlacedLoad(load: PlacedLoad, createPlacement: (random: RandomSource) => Placement): PlacedOutcome {
	const random = new SeededRandom(load.seed);
	const time = new SimulationTime();
	const requestsPerSecond = load.hosts * load.perHost;
	const msPerToken = load.utilization * load.servers * 1000 / requestsPerSecond / ownTokens;
	const engines = new Map(Array.from({length: load.servers}, (_, index) => [`s${index}`, {queue: new EngineQueue(time), usedAt: new Map<string, number>(), busyMs: 0}]));
	const hosts = Array.from({length: load.hosts}, (_, index) => ({
		zone: `z${index % load.zones}`,
		placement: createPlacement(random.fork(`host ${index}`)),
		records: [...engines.keys()].map((id, server) => new ServerRecord(testBackend(id, {zone: `z${server % load.zones}`, capacity: 32}))),
	}));
	const times: number[] = [];
	let shared = 0;
	let again = 0;
	let count = 0;

	const arrive = () => {
		const {zone, placement, records} = hosts[random.integer(hosts.length)]!;
		const part = `p${random.next() < (load.firstShare ?? 0) ? 0 : random.integer(load.parts)}`;
		const startedAt = time.now;
		const record = placement.choose({
			service: 's', affinityKey: part, subjectKey: `q${count++}`, work: partTokens + ownTokens, zone,
		}, records, time.now)!;
		const engine = engines.get(record.server.id)!;
		const isKept = time.now - (engine.usedAt.get(part) ?? -Infinity) < keptMs;
		engine.usedAt.set(part, time.now);
		const workMs = (ownTokens + (isKept ? 0 : partTokens)) * msPerToken;
		if (startedAt >= warmUpMs) {
			shared += partTokens;
			again += isKept ? 0 : partTokens;
			engine.busyMs += workMs;
		}

		record.inFlight++;
		engine.queue.process(workMs, false, () => {
			record.inFlight--;
			if (startedAt >= warmUpMs) {
				times.push(time.now - startedAt);
			}
		});
		scheduleArrival();
	};

	const scheduleArrival = () => {
		const next = time.now - (Math.log(1 - random.next()) * 1000 / requestsPerSecond);
		if (next < durationMs) {
			time.at(next, arrive);
		}
	};

	scheduleArrival();
	time.run();
	times.sort((left, right) => left - right);
	const busy = [...engines.values()].map(({busyMs}) => busyMs);
	return {
		p95: times[Math.floor(times.length * 0.95)]! / (ownTokens * msPerToken),
		busiest: Math.max(...busy) / (busy.reduce((sum, ms) => sum + ms, 0) / busy.length),
		processedAgain: again / shared,
	};
}
