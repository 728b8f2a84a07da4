import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {sleep} from '../common/base/sleep.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {type ForwardRequest} from '../common/forwarding/forward-request.js';
import {type Forwarder} from '../common/forwarding/forwarder.js';
import {PeerHosts} from '../common/forwarding/peer-hosts.js';
import {repetition, type Repetition} from '../common/forwarding/routing-config.js';
import {serversUnreachableReason} from '../common/forwarding/router-refusals.js';
import {ServerReach} from '../common/forwarding/server-reach.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {
	createTestForwarder, endlessLease, testBackend, testRoute, testTable,
} from './forwarder-fixture.js';
import {ManualClock} from './manual-clock.js';
import {RecordingSink} from './recording-sink.js';
import {answerHead, type ScriptedAttempt, ScriptedPort} from './scripted-port.js';

/** What a host sees of servers to which it has lost its links. */
export const linkLoss = {
	/** New connections are not answered, and old ones go silent. */
	silent: 'silent',
	/** New connections are refused, and old ones are reset. */
	refused: 'refused',
	/** New connections and old ones are reset. */
	reset: 'reset',
	/** New connections are refused while old ones go on. */
	newRefused: 'new-refused',
} as const;
export type LinkLoss = typeof linkLoss[keyof typeof linkLoss];

/** A load during which some hosts lose their links to all servers. */
export interface ReachLoad {
	readonly seed: number;
	readonly hosts: number;
	/** Number of hosts that lose their links. */
	readonly cut: number;
	readonly servers: number;
	readonly perSecond: number;
	readonly kind: Repetition;
	readonly loss: LinkLoss;
	/** Whether the servers themselves end instead. */
	readonly allServersEnd?: boolean;
}

/** Result of a load. */
export interface ReachOutcome {
	/** Shares of the requests with a complete answer, of those that arrived later than `contactMs` after the loss, until its end. */
	readonly servedCut: number;
	readonly servedOthers: number;
	/** The same at the hosts that were cut off, after the links are back for `contactMs`. */
	readonly servedAfter: number;
	/** Longest time in milliseconds until a request that was not served at a host without links was answered. */
	readonly slowestRefusalMs: number;
	/** Requests that two servers have run although they may run once. */
	readonly ranTwice: number;
}

const contactMs = 3000;
const lossAt = 6000;
const backAt = 16_000;
const durationMs = 24_000;
const connectMs = 1;
const connectTimeoutMs = 600;
const workMs = 60;
/** Share of the attempts for which a host has an old connection. */
const pooledShare = 0.6;
const encoder = new TextEncoder();

type Request = {readonly at: number; readonly host: number; readonly sink: RecordingSink; endedAt: number};

/** Plays a load with the forwarders of all hosts while some of them reach no server. */
export async function playReachLoad(load: ReachLoad): Promise<ReachOutcome> {
	return new ReachSimulation(load).play();
}

class ReachSimulation {
	private readonly _clock = new ManualClock();
	private readonly _random: SeededRandom;
	private readonly _forwarders: Forwarder[] = [];
	private readonly _requests: Request[] = [];
	/** Number of runs by request. */
	private readonly _runs = new Map<string, number>();

	constructor(private readonly _load: ReachLoad) {
		this._random = new SeededRandom(_load.seed);
		const servers = Array.from({length: _load.servers}, (_, index) => testBackend(`s${index}`, {address: `10.0.1.${index}:1`, capacity: 64}));
		const entryHosts = Array.from({length: _load.hosts}, (_, host) => ({
			host: `h${host}`, incarnation: 1, address: String(host), peerAddress: String(host), zone: 'z', leaving: false,
		}));
		const isStream = _load.kind === repetition.stream;
		const table = testTable([testRoute({
			repetition: _load.kind, isResumable: isStream, timeoutMs: 4000, targetLatencyMs: isStream ? 1500 : 300, targetPauseMs: isStream ? 800 : 0, maxAttempts: isStream ? 3 : 2,
		})], undefined, 300 * _load.hosts);
		for (let host = 0; host < _load.hosts; host++) {
			const pool = new ServerPool();
			pool.update(servers, 0);
			const random = this._random.fork(`host ${host}`);
			const peers = new PeerHosts(`h${host}`);
			peers.update(entryHosts);
			const budget = new RetryBudget(0.5, 4);
			this._forwarders.push(createTestForwarder({
				clock: this._clock,
				lease: endlessLease,
				random,
				pool,
				peers,
				peerPort: new ScriptedPort(attempt => {
					this._receiveAtHost(attempt);
				}),
				reach: new ServerReach({
					clock: this._clock,
					pool,
					logger: nullLogger,
					counters: nullCounters,
					random: () => random.next(),
					addresses: {acceptsConnections: async () => this._acceptsConnections(host)},
				}),
				port: new ScriptedPort(attempt => {
					this._receive(attempt, host);
				}),
				budget: () => budget,
				state: () => ({
					table, rollouts: new Map(), quarantinedParts: new Map(), quarantinedRequests: new Map(), hostCount: _load.hosts, hostIndex: host,
				}),
			}));
		}
	}

	async play(): Promise<ReachOutcome> {
		const next = () => {
			if (this._clock.now() < durationMs - contactMs) {
				this._request();
				this._clock.setTimer(Math.ceil(-Math.log(1 - this._random.next()) * 1000 / this._load.perSecond), next);
			}
		};

		next();
		await this._clock.advance(durationMs + contactMs);
		return this._outcome();
	}

	private _isCut(host: number): boolean {
		const now = this._clock.now();
		return now >= lossAt && now < backAt && (host < this._load.cut || this._load.allServersEnd === true);
	}

	/** Whether servers accept new connections of a host. */
	private async _acceptsConnections(host: number): Promise<boolean> {
		if (this._isCut(host)) {
			await sleep(this._clock, this._load.loss === linkLoss.silent ? connectTimeoutMs : connectMs);
			return false;
		}

		return true;
	}

	/** Passes a request that was handed over to the forwarder of its target. */
	private _receiveAtHost({message, terms, events}: ScriptedAttempt): void {
		const sink = new RecordingSink();
		sink.onFinished = () => {
			if (sink.refusal) {
				events.onHead(answerHead({
					status: sink.refusal.status, isNotRun: sink.refusal.ran === 'no', isHostFault: sink.refusal.code === serversUnreachableReason, isSigned: false,
				}));
			} else if (sink.isCut) {
				events.onFailure({isUnsent: false, reason: 'UND_ERR_SOCKET'});
			} else {
				events.onHead(answerHead());
				events.onData(encoder.encode(sink.text));
				events.onEnd();
			}
		};

		this._clock.setTimer(connectMs, () => {
			if (events.mayStart()) {
				this._forwarders[Number(terms.address)]!.forward({
					...testRequest(terms.requestId), deadlineMs: terms.remainingMs, resumeAfter: terms.resumeAfter, message, attemptsLeft: terms.handOver!.attemptsLeft,
				}, sink);
			}
		});
	}

	/** Runs an attempt of a host at a server, or lets it fail the way that the lost links look like. */
	private _receive(attempt: ScriptedAttempt, host: number): void {
		const {loss} = this._load;
		const isPooled = this._random.next() < pooledShare;
		const whenOpen = (act: () => void) => {
			if (!attempt.isAborted) {
				act();
			}
		};

		if (!this._isCut(host) || (isPooled && loss === linkLoss.newRefused && !this._load.allServersEnd)) {
			this._run(attempt, host);
			return;
		}

		if (loss === linkLoss.silent) {
			if (isPooled) {
				attempt.events.mayStart();
			} else {
				this._clock.setTimer(connectTimeoutMs, () => {
					whenOpen(() => {
						attempt.events.onFailure({isUnsent: true, reason: 'UND_ERR_CONNECT_TIMEOUT'});
					});
				});
			}
		} else {
			this._clock.setTimer(connectMs, () => {
				whenOpen(() => {
					attempt.events.onFailure({isUnsent: true, reason: loss === linkLoss.reset ? 'ECONNRESET' : 'ECONNREFUSED'});
				});
			});
		}
	}

	private _run(attempt: ScriptedAttempt, host: number): void {
		this._clock.setTimer(connectMs, () => {
			if (attempt.isAborted || !attempt.events.mayStart()) {
				return;
			}

			const {requestId} = attempt.terms;
			this._runs.set(requestId, (this._runs.get(requestId) ?? 0) + 1);
			this._clock.setTimer(workMs, () => {
				const isLost = this._isCut(host) && this._load.loss !== linkLoss.newRefused;
				if (attempt.isAborted || (isLost && this._load.loss === linkLoss.silent)) {
					return;
				}

				if (isLost) {
					attempt.events.onFailure({isUnsent: false, reason: 'ECONNRESET'});
					return;
				}

				attempt.events.onHead(answerHead());
				attempt.events.onData(encoder.encode(this._load.kind === repetition.stream ? 'id: 1\ndata: x\n\n' : 'x'));
				attempt.events.onEnd();
			});
		});
	}

	private _request(): void {
		const id = `q${this._requests.length}`;
		const host = this._random.integer(this._load.hosts);
		const sink = new RecordingSink();
		const request: Request = {
			at: this._clock.now(), host, sink, endedAt: Infinity,
		};
		this._requests.push(request);
		sink.onFinished = () => {
			request.endedAt = this._clock.now();
		};

		this._forwarders[host]!.forward(testRequest(id), sink);
	}

	private _outcome(): ReachOutcome {
		const between = (from: number, until: number, isCut: boolean) => this._requests.filter(({at, host}) => at >= from && at < until && (host < this._load.cut) === isCut);
		const share = (requests: readonly Request[]) => requests.filter(({sink}) => sink.isEnded).length / Math.max(1, requests.length);
		const cut = between(lossAt + contactMs, backAt, true);
		return {
			servedCut: share(cut),
			servedOthers: share(between(lossAt + contactMs, backAt, false)),
			servedAfter: share(between(backAt + contactMs, durationMs, true)),
			slowestRefusalMs: Math.max(0, ...cut.filter(({sink}) => !sink.isEnded).map(({at, endedAt}) => endedAt - at)),
			ranTwice: this._load.kind === repetition.once ? [...this._runs.values()].filter(count => count > 1).length : 0,
		};
	}
}

function testRequest(id: string): ForwardRequest {
	return {
		id, hostname: 'h', path: `/x/${id}`, key: undefined, deadlineMs: 4000, session: undefined, resumeAfter: undefined, generation: undefined, message: {
			method: 'POST', target: `/x/${id}`, headers: [], body: undefined,
		},
	};
}
