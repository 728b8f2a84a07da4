import {type Disposable} from '../common/base/disposable.js';
import {nullCounters} from '../common/base/null-counters.js';
import {nullLogger} from '../common/base/null-logger.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type ControlCommand} from '../common/control/control-command.js';
import {type ControlLeadership} from '../common/control/control-leadership.js';
import {type ControlResult} from '../common/control/control-result.js';
import {ControlState} from '../common/control/control-state.js';
import {maxRenewHoldMs, minRenewIntervalMs, renewIntervalMs} from '../common/control/control-times.js';
import {RetryBudget} from '../common/entry/retry-budget.js';
import {type Forwarder} from '../common/forwarding/forwarder.js';
import {repetition} from '../common/forwarding/routing-config.js';
import {ServerPool} from '../common/forwarding/server-pool.js';
import {CrashRecorder} from '../common/crashes/crash-recorder.js';
import {CrashSupervisor} from '../common/crashes/crash-supervisor.js';
import {
	createTestForwarder, endlessLease, testRoute, testTable,
} from './forwarder-fixture.js';
import {CrashingServers} from './crashing-servers.js';
import {LocalLog} from './local-log.js';
import {ManualClock} from './manual-clock.js';
import {RecordingSink} from './recording-sink.js';
import {ScriptedPort} from './scripted-port.js';

/** Requests with a part that ends each server which begins an answer on it. */
export interface CrashingRequests {
	readonly part: string;
	readonly perSecond: number;
	/** Times in milliseconds between which the requests come. */
	readonly from: number;
	readonly until: number;
}

/** One request, sent again and again under other IDs, that ends each server which begins an answer on it. */
export interface RepeatedRequest {
	readonly target: string;
	readonly perSecond: number;
	/** Times in milliseconds between which it comes. */
	readonly from: number;
	readonly until: number;
	/** Shared part of its prompt, which sound requests may have too; undefined for a request without a prompt. */
	readonly part: string | undefined;
}

/** A load on model engines of which some requests end servers. */
export interface CrashingLoad {
	readonly seed: number;
	readonly hosts: number;
	readonly servers: number;
	/** Rate of sound requests in 1/s. */
	readonly perSecond: number;
	/** Number of shared parts that sound requests choose from, popular ones more often. */
	readonly soundParts?: number;
	readonly crashing?: readonly CrashingRequests[];
	readonly repeated?: readonly RepeatedRequest[];
	/** Rate in 1/s of one sound request that comes again and again from the start. */
	readonly hotPerSecond?: number;
	/** Times in milliseconds at which a share of the servers ends at the same moment for another reason. */
	readonly losses?: ReadonlyArray<{readonly at: number; readonly share: number}>;
	/** Probability with which a server breaks a single connection under an answer and goes on. */
	readonly brokenConnections?: number;
	/** Number of hosts whose new connections are refused although the servers are up, while connections that they have live on. */
	readonly refusedHosts?: number;
}

/** Result of a load. */
export interface CrashOutcome {
	/** Servers that ended under each crashing part. */
	readonly crashes: ReadonlyMap<string, number>;
	/** Requests with each crashing part that reached a server later than `contactMs` after the fifth end of a server under it. */
	readonly lateSends: ReadonlyMap<string, number>;
	/** The same for repeated requests, from the third end on, by target. */
	readonly lateRepeats: ReadonlyMap<string, number>;
	/** Share of the sound requests with a complete answer: before the first crash, and from twice `contactMs` after the fifth one. */
	readonly soundBefore: number;
	readonly soundAfter: number;
	/** Sound requests that were refused because of a part of their prompt or because of their digest. */
	readonly refusedSound: number;
}

/** Time in milliseconds after which all hosts must keep the requests away. */
export const contactMs = 3000;
const crashesBeforeLimit = 5;
const repeatCrashesBeforeLimit = 3;
const durationMs = 30_000;

/** Plays a load with the forwarders of all hosts against servers that end when they begin an answer on a crashing part. */
export async function playCrashingLoad(load: CrashingLoad): Promise<CrashOutcome> {
	return new CrashSimulation(load).play();
}

class CrashSimulation {
	private readonly _clock = new ManualClock();
	private readonly _random: SeededRandom;
	private readonly _servers: CrashingServers;
	private readonly _pools: ServerPool[] = [];
	private readonly _forwarders: Forwarder[] = [];
	private readonly _state = new ControlState();
	private readonly _supervisor: CrashSupervisor;
	private readonly _sound: Array<{readonly at: number; readonly sink: RecordingSink}> = [];
	private _requests = 0;

	constructor(private readonly _load: CrashingLoad) {
		this._random = new SeededRandom(_load.seed);
		this._servers = new CrashingServers({
			clock: this._clock,
			random: this._random.fork('servers'),
			count: _load.servers,
			crashing: new Set([...(_load.crashing ?? []).map(({part}) => part), ...(_load.repeated ?? []).map(({target}) => target)]),
			brokenConnections: _load.brokenConnections ?? 0,
			onServers: servers => {
				this._publish(servers);
			},
		});
		const table = testTable([testRoute({
			repetition: repetition.stream, isResumable: true, timeoutMs: 5000, targetLatencyMs: 1500, targetPauseMs: 800, hasPromptParts: true,
		})], undefined, 300 * _load.hosts);
		this._supervisor = new CrashSupervisor({
			log: new LocalLog<ControlCommand, ControlResult>('leader', this._state),
			state: this._state,
			clock: this._clock,
			logger: nullLogger,
			addresses: {refusesConnections: async address => this._servers.refuses(address)},
			leadership: {period: {}} as unknown as ControlLeadership,
		});
		for (let host = 0; host < _load.hosts; host++) {
			const pool = new ServerPool();
			const budget = new RetryBudget(0.5, 4);
			const port = new ScriptedPort(attempt => {
				this._servers.receive(attempt, [attempt.message.headers[1]!, attempt.message.target]);
			});
			const crashes = new CrashRecorder({
				clock: this._clock, addresses: {refusesConnections: async address => host < (_load.refusedHosts ?? 0) || this._servers.refuses(address)}, logger: nullLogger, counters: nullCounters, quarantinedRequests: () => known.requests,
			});
			const known = this._renewRegularly(`host ${host}`, crashes);
			this._pools.push(pool);
			this._forwarders.push(createTestForwarder({
				clock: this._clock,
				lease: endlessLease,
				random: this._random.fork(`host ${host}`),
				pool,
				port,
				crashes,
				budget: () => budget,
				state: () => ({
					table, rollouts: new Map(), quarantinedParts: known.parts, quarantinedRequests: known.requests, hostCount: _load.hosts, hostIndex: host,
				}),
			}));
		}

		this._publish(this._servers.servers);
	}

	async play(): Promise<CrashOutcome> {
		const {
			crashing = [], repeated = [], hotPerSecond = 0, losses = [], perSecond, soundParts = 40,
		} = this._load;
		this._arrive(perSecond, 0, durationMs, () => {
			// The square favours the first parts.
			this._request(`doc${Math.floor((this._random.next() ** 2) * soundParts)}`, true);
		});
		for (const {part, perSecond: rate, from, until} of crashing) {
			this._arrive(rate, from, until, () => {
				this._request(part, false);
			});
		}

		for (const {target, part, perSecond: rate, from, until} of repeated) {
			this._arrive(rate, from, until, () => {
				this._request(part, false, target);
			});
		}

		if (hotPerSecond > 0) {
			this._arrive(hotPerSecond, 0, durationMs, () => {
				this._request('doc0', true, '/hot');
			});
		}

		for (const {at, share} of losses) {
			this._clock.setTimer(at, () => {
				this._servers.endShare(share);
			});
		}

		await this._clock.advance(durationMs);
		return this._outcome();
	}

	/** Exchanges the crash reports of a host at intervals. @returns what the host knows to be under quarantine. */
	private _renewRegularly(host: string, crashes: CrashRecorder): {readonly parts: ReadonlySet<string>; readonly requests: ReadonlySet<string>} {
		const known = {parts: new Set<string>(), requests: new Set<string>()};
		let isUrgent = false;
		let isInFlight = false;
		let timer: Disposable | undefined;
		const renew = () => {
			timer?.dispose();
			isUrgent = false;
			isInFlight = true;
			const report = crashes.collect(1);
			if (report) {
				this._supervisor.receive({host, incarnation: 1}, report);
			}

			// The leader holds a renewal until there is something new, here always for the longest time.
			this._clock.setTimer(maxRenewHoldMs, () => {
				isInFlight = false;
				crashes.acknowledge(1, report);
				known.parts = new Set(this._state.quarantinedParts.keys());
				known.requests = new Set(this._state.quarantinedRequests.keys());

				timer = this._clock.setTimer(isUrgent ? minRenewIntervalMs : renewIntervalMs - maxRenewHoldMs, renew);
			});
		};

		crashes.onUrgent(() => {
			isUrgent = true;
			if (!isInFlight) {
				renew();
			}
		});
		timer = this._clock.setTimer(this._random.next() * renewIntervalMs, renew);
		return known;
	}

	private _outcome(): CrashOutcome {
		const {crashing = [], repeated = []} = this._load;
		const parts = crashing.map(({part}) => part);
		const targets = repeated.map(({target}) => target);
		const limitAt = (cause: string, ends: number) => this._servers.crashedAt.get(cause)?.[ends - 1] ?? Infinity;
		const lateSends = (causes: readonly string[], ends: number) => new Map(causes.map(cause => [cause, (this._servers.reachedAt.get(cause) ?? []).filter(at => at > limitAt(cause, ends) + contactMs).length]));
		const firstAt = Math.min(...[...parts, ...targets].map(cause => limitAt(cause, 1)));
		const limits = [...parts.map(part => limitAt(part, crashesBeforeLimit)), ...targets.map(target => limitAt(target, repeatCrashesBeforeLimit))];
		const settledAt = Math.max(0, ...limits.filter(at => at < Infinity)) + (2 * contactMs);
		const answered = (from: number, until: number) => {
			const due = this._sound.filter(({at}) => at >= from && at < until);
			return due.filter(({sink}) => sink.isEnded).length / Math.max(1, due.length);
		};

		return {
			crashes: new Map(parts.map(part => [part, this._servers.crashedAt.get(part)?.length ?? 0])),
			lateSends: lateSends(parts, crashesBeforeLimit),
			lateRepeats: lateSends(targets, repeatCrashesBeforeLimit),
			soundBefore: answered(0, Math.min(firstAt, durationMs) - 1000),
			soundAfter: answered(settledAt, durationMs - 1000),
			refusedSound: this._sound.filter(({sink}) => sink.refusal?.code.startsWith('quarantined-')).length,
		};
	}

	private _arrive(perSecond: number, from: number, until: number, request: () => void): void {
		const next = () => {
			if (this._clock.now() < until) {
				request();
				this._clock.setTimer(-Math.log(1 - this._random.next()) * 1000 / perSecond, next);
			}
		};

		this._clock.setTimer(from, next);
	}

	private _request(part: string | undefined, isSound: boolean, repeatedTarget?: string): void {
		const id = `q${++this._requests}`;
		const target = repeatedTarget ?? `/x/${id}`;
		const sink = new RecordingSink();
		if (isSound) {
			this._sound.push({at: this._clock.now(), sink});
		}

		this._forwarders[this._random.integer(this._load.hosts)]!.forward({
			id, hostname: 'h', path: target, key: undefined, deadlineMs: 5000, session: undefined, resumeAfter: undefined, generation: part === undefined
				? undefined
				: {
					model: 'm', inputTokens: 1000, maxOutputTokens: 20, expectedOutputTokens: undefined, parts: [{id: 'root', tokens: 400}, {id: part, tokens: 500}, {id: `own-${target}`, tokens: 100}],
				}, message: {
				method: 'POST', target, headers: ['part', part ?? ''], body: undefined,
			},
		}, sink);
	}

	private _publish(servers: readonly BackendServer[]): void {
		for (const server of servers) {
			this._state.apply(0, {type: 'backend-joined', server, at: 0});
		}

		for (const pool of this._pools) {
			pool.update(servers, this._clock.now());
		}
	}
}
