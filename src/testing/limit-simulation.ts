import {type Clock} from '../common/base/clock.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {
	createTestForwarder, endlessLease, testBackend, testRoute, testTable,
} from './forwarder-fixture.js';
import {ManualClock} from './manual-clock.js';
import {RecordingSink} from './recording-sink.js';
import {answerHead, type ScriptedAttempt, ScriptedPort} from './scripted-port.js';

/** A load on a service of which some servers name a request limit. */
export interface LimitedLoad {
	readonly seed: number;
	readonly hosts: number;
	readonly servers: number;
	/** Number of servers that name a limit. */
	readonly limited: number;
	/** Request rate in 1/s that such a server takes from all hosts together, by the time in milliseconds; undefined without a limit. */
	readonly limitAt: (now: number) => number | undefined;
	/** Request rate in 1/s by the time in milliseconds. */
	readonly perSecond: (now: number) => number;
	/** Maximum difference in milliseconds of the hosts' times of day. */
	readonly clockSkewMs?: number;
}

/** Result of a load. */
export interface LimitOutcome {
	/** Times in milliseconds of the requests to each limited server by hosts that knew its limit, by server. */
	readonly knowing: ReadonlyMap<string, readonly number[]>;
	/** Times in milliseconds of all requests to limited servers. */
	readonly toLimited: readonly number[];
	/** Requests with an answer and requests that were refused. */
	readonly answered: number;
	readonly refused: number;
	/** Longest time in milliseconds from a request to its refusal. */
	readonly slowestRefusalMs: number;
	/** Whether each refusal says that the request has not run. */
	readonly areRefusalsNotRun: boolean;
}

const durationMs = 30_000;
/** Time in milliseconds after which a host counts as knowing the limit that an answer has named. */
const knowingAfterMs = 500;
const answerMs = 100;

/** Plays a load with the forwarders of all hosts against servers that answer after a fixed time. */
export async function playLimitedLoad({seed, hosts, servers, limited, limitAt, perSecond, clockSkewMs = 0}: LimitedLoad): Promise<LimitOutcome> {
	const clock = new ManualClock();
	const random = new SeededRandom(seed);
	const backends = Array.from({length: servers}, (_, index) => testBackend(`s${index}`, {capacity: 64}));
	const isLimited = (id: string) => Number(id.slice(1)) < limited;
	const table = testTable([testRoute({timeoutMs: 5000})], undefined, 300);
	const knowing = new Map<string, number[]>();
	const toLimited: number[] = [];
	const forwarders = Array.from({length: hosts}, (_, host) => {
		const pool = new ServerPool();
		pool.update(backends, clock.now());
		const toldAt = new Map<string, number>();
		const answer = ({terms, events}: ScriptedAttempt) => {
			const {serverId} = terms;
			if (isLimited(serverId)) {
				toLimited.push(clock.now());
				if (clock.now() - (toldAt.get(serverId) ?? Infinity) >= knowingAfterMs) {
					knowing.set(serverId, [...(knowing.get(serverId) ?? []), clock.now()]);
				}
			}

			clock.setTimer(answerMs, () => {
				const requestsPerSecond = isLimited(serverId) ? limitAt(clock.now()) : undefined;
				if (requestsPerSecond !== undefined && !toldAt.has(serverId)) {
					toldAt.set(serverId, clock.now());
				}

				events.onHead(answerHead({length: 0, requestsPerSecond}));
				events.onEnd();
			});
		};

		const skew = (random.next() - 0.5) * 2 * clockSkewMs;
		const hostClock: Clock = {
			now: () => clock.now(), wallTime: () => clock.wallTime() + skew, setTimer: (delayMs, callback) => clock.setTimer(delayMs, callback),
		};
		const budget = new RetryBudget(0.5, 4);
		return createTestForwarder({
			clock: hostClock, lease: endlessLease, random, pool, port: new ScriptedPort(answer), budget: () => budget, state: () => ({
				table, rollouts: new Map(), quarantinedParts: new Map(), quarantinedRequests: new Map(), hostCount: hosts, hostIndex: host,
			}),
		});
	});

	const sinks: Array<{sink: RecordingSink; sentAt: number; refusedAt?: number}> = [];
	const arrive = () => {
		const sent = {sink: new RecordingSink(), sentAt: clock.now(), refusedAt: undefined as number | undefined};
		sinks.push(sent);
		forwarders[random.integer(hosts)]!.forward({
			id: `q${sinks.length}`, hostname: 'h', path: '/x', key: undefined, deadlineMs: 5000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method: 'GET', target: '/x', headers: [], body: undefined,
			},
		}, sent.sink);
		clock.setTimer(-Math.log(1 - random.next()) * 1000 / perSecond(clock.now()), arrive);
	};

	arrive();
	const check = () => {
		for (const sent of sinks) {
			if (sent.sink.refusal && sent.refusedAt === undefined) {
				sent.refusedAt = clock.now();
			}
		}

		clock.setTimer(answerMs, check);
	};

	check();
	await clock.advance(durationMs);
	const refused = sinks.filter(({sink}) => sink.refusal !== undefined);
	return {
		knowing,
		toLimited,
		answered: sinks.filter(({sink}) => sink.status === 200).length,
		refused: refused.length,
		slowestRefusalMs: Math.max(0, ...refused.map(({sentAt, refusedAt}) => refusedAt! - sentAt)),
		areRefusalsNotRun: refused.every(({sink}) => sink.refusal!.ran === 'no' && (sink.refusal!.retryAfterSeconds ?? 0) > 0),
	};
}
