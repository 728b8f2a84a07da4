import {SeededRandom} from '../common/base/seeded-random.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {repetition} from '../common/forwarding/routing-config.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {
	createTestForwarder, endlessLease, testBackend, testRoute, testTable,
} from './forwarder-fixture.js';
import {ManualClock} from './manual-clock.js';
import {RecordingSink} from './recording-sink.js';
import {answerHead, type ScriptedAttempt, ScriptedPort} from './scripted-port.js';

/** A load on servers that say that they are brittle; `contactMs` later they end when they have to refuse many requests in a second. */
export interface BrittleLoad {
	readonly seed: number;
	readonly hosts: number;
	readonly servers: number;
	/** Requests that a server runs at once. */
	readonly slots: number;
	/** Requests that wait at a server before it refuses others; none once it is brittle. */
	readonly waiting: number;
	/** Refusals in a second above which a brittle server ends. */
	readonly maxRefusals: number;
	/** Time in milliseconds that a server works on a request. */
	readonly workMs: number;
	/** Load as a multiple of what the servers can do. */
	readonly load: number;
}

/** Result of a load. */
export interface BrittleOutcome {
	/** Number of times that a server ended. */
	readonly ends: number;
	/** Share of the servers' time that was used meanwhile. */
	readonly used: number;
}

const contactMs = 3000;
const brittleAt = 4000;
const durationMs = 20_000;
const restartMs = 3000;
const windowMs = 1000;

class BrittleServer {
	readonly active = new Set<ScriptedAttempt>();
	isUp = true;
	/** Times of refusals in the last second. */
	refusals: number[] = [];
	readonly queue: ScriptedAttempt[] = [];

	/** Number of requests that run; one whose connection was closed is dropped. */
	get running(): number {
		for (const attempt of this.active) {
			if (attempt.isAborted) {
				this.active.delete(attempt);
			}
		}

		return this.active.size;
	}
}

/** Plays a load with the forwarders of all hosts against servers that become brittle. */
export async function playBrittleLoad({seed, hosts, servers, slots, waiting, maxRefusals, workMs, load}: BrittleLoad): Promise<BrittleOutcome> {
	const clock = new ManualClock();
	const random = new SeededRandom(seed);
	const backends = Array.from({length: servers}, (_, index) => testBackend(`s${index}`, {address: `s${index}`, capacity: slots}));
	const states = new Map(backends.map(({id}) => [id, new BrittleServer()]));
	const says = () => clock.now() >= brittleAt ? maxRefusals : undefined;
	const isBrittle = () => clock.now() >= brittleAt + contactMs;
	let ends = 0;
	let usedMs = 0;
	const run = (server: BrittleServer, attempt: ScriptedAttempt) => {
		server.active.add(attempt);
		clock.setTimer(workMs, () => {
			if (!server.active.delete(attempt)) {
				return;
			}

			if (isBrittle() && clock.now() < durationMs) {
				usedMs += workMs;
			}

			if (!attempt.isAborted) {
				attempt.events.onHead(answerHead({length: 0, maxRefusalsPerSecond: says()}));
				attempt.events.onEnd();
			}

			const next = server.queue.shift();
			if (next) {
				run(server, next);
			}
		});
	};

	const refuse = (server: BrittleServer, attempt: ScriptedAttempt) => {
		server.refusals = [...server.refusals.filter(at => at > clock.now() - windowMs), clock.now()];
		attempt.events.onHead(answerHead({status: 503, isNotRun: true, maxRefusalsPerSecond: says()}));
		if (isBrittle() && server.refusals.length > maxRefusals) {
			ends++;
			server.isUp = false;
			server.active.clear();
			server.queue.length = 0;
			server.refusals = [];
			clock.setTimer(restartMs, () => {
				server.isUp = true;
			});
		}
	};

	const receive = (attempt: ScriptedAttempt) => {
		clock.setTimer(2, () => {
			const server = states.get(attempt.terms.serverId)!;
			if (attempt.isAborted) {
				return;
			}

			if (!server.isUp) {
				attempt.events.onFailure({isUnsent: true, reason: 'ECONNREFUSED'});
			} else if (server.running < slots) {
				run(server, attempt);
			} else if (server.queue.length < (isBrittle() ? 0 : waiting)) {
				server.queue.push(attempt);
			} else {
				refuse(server, attempt);
			}
		});
	};

	const table = testTable([testRoute({repetition: repetition.idempotent, timeoutMs: 3000, targetLatencyMs: 1500})], undefined, 300 * hosts);
	const forwarders = Array.from({length: hosts}, (_, host) => {
		const pool = new ServerPool();
		pool.update(backends, 0);
		const budget = new RetryBudget(0.5, 4);
		return createTestForwarder({
			clock, random: random.fork(`host ${host}`), pool, lease: endlessLease, port: new ScriptedPort(receive), budget: () => budget, state: () => ({
				table, rollouts: new Map(), quarantinedParts: new Map(), quarantinedRequests: new Map(), hostCount: hosts, hostIndex: host,
			}),
		});
	});
	const perMs = load * servers * slots / workMs;
	let requests = 0;
	let dueAt = 0;
	const arrive = () => {
		const id = `q${requests++}`;
		forwarders[random.integer(hosts)]!.forward({
			id, hostname: 'h', path: '/x', key: undefined, deadlineMs: 3000, session: undefined, generation: undefined, resumeAfter: undefined, message: {
				method: 'GET', target: '/x', headers: [], body: undefined,
			},
		}, new RecordingSink());
		if (clock.now() < durationMs) {
			dueAt -= Math.log(1 - random.next()) / perMs;
			clock.setTimer(Math.round(dueAt) - clock.now(), arrive);
		}
	};

	arrive();
	await clock.advance(durationMs);
	return {ends, used: usedMs / ((durationMs - brittleAt - contactMs) * servers * slots)};
}
