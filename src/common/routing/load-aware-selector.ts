import {type Clock} from '../base/clock.js';
import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {type RandomSource} from '../base/random-source.js';
import {type BackendServer} from '../control/backend-server.js';
import {type BackendSelector, type Dispatch, type SelectionRequest} from './backend-selector.js';
import {availableStates} from './available-states.js';
import {expectedRequests, slotWaitMs, tokensAhead} from './first-token-estimate.js';
import {type LoadReport} from './load-report.js';
import {type LoadAwareOptions} from './load-aware-options.js';
import {PrefixIndex} from './prefix-index.js';
import {ServerState, type InFlightRequest} from './server-state.js';

/** Requests always allowed above the multiple of the mean load, so that an idle system keeps its prefix affinity. */
const loadSlack = 2;
/** Maximum penalty in milliseconds for overdue first tokens and reports; a server that may be faulty is still better than a long queue. */
const maxFaultPenaltyMs = 2000;
type Pool = {readonly states: readonly ServerState[]; readonly members: ReadonlySet<ServerState>};

/** Maximum mean number of servers sampled per selection, besides holders of the prefix; more would take longer and hardly improve the choice. */
const targetSampleSize = 24;
/** Maximum number of holders of the prefix sampled per selection, those of the longest prefix first. */
const maxSampledHolders = 16;
/** Number of states above which those unused for `stateMaxAgeMs` are removed. */
const maxStates = 2048;
const stateMaxAgeMs = 600_000;

/** Chooses the backend server with the lowest expected time to first token; breaks ties at random. */
export class LoadAwareSelector implements BackendSelector {
	/** Fires at each first token of a local request, with the milliseconds that the request was queued before its prompt was processed. */
	readonly onQueueDelay: Event<number>;
	private readonly _queueDelay = new Emitter<number>();
	private readonly _states = new Map<string, ServerState>();
	private readonly _prefixes = new PrefixIndex();
	private readonly _poolsByList = new WeakMap<readonly BackendServer[], Pool & {generation: number}>();
	/** Incremented when a state is added or removed. */
	private _generation = 0;
	private readonly _ejected = new Set<ServerState>();
	private readonly _zone: string;
	private readonly _crossZonePenaltyMs: number;
	private readonly _maxLoadRatio: number;
	private readonly _tieToleranceShare: number;
	private readonly _tieToleranceMs: number;
	private readonly _maxHerding: number;

	constructor(private readonly _clock: Clock, private readonly _random: RandomSource, options: LoadAwareOptions) {
		this.onQueueDelay = this._queueDelay.event;
		this._zone = options.zone;
		this._crossZonePenaltyMs = options.crossZonePenaltyMs ?? 10;
		this._maxLoadRatio = options.maxLoadRatio ?? 1.25;
		this._tieToleranceShare = options.tieToleranceShare ?? 0.05;
		this._tieToleranceMs = options.tieToleranceMs ?? 3;
		this._maxHerding = options.maxHerding ?? 4;
	}

	select(req: SelectionRequest, candidates: readonly BackendServer[]): BackendServer | undefined {
		const now = this._clock.now();
		const pool = this._available(req, candidates, now);
		if (pool.states.length <= 1) {
			return pool.states[0]?.server;
		}

		const sample = this._sample(req, pool, now);
		const best = this._score(req, sample, this._loadBound(pool.states), now);
		const limit = (best * (1 + this._tieToleranceShare)) + this._tieToleranceMs;
		let chosen: ServerState | undefined;
		let tied = 0;
		for (const state of sample) {
			if (state.score <= limit) {
				tied++;
				if (tied === 1 || this._random.next() * tied < 1) {
					chosen = state;
				}
			}
		}

		return chosen?.server;
	}

	dispatch(req: SelectionRequest, server: BackendServer): Dispatch {
		const now = this._clock.now();
		const state = this._stateById(server.id, server.incarnation);
		state.server = server;
		this._prefixes.match(req.prefixHashes, now);
		const tokens = this._uncachedTokens(req, state);
		const promptMs = 1000 * tokens / state.prefillRate;
		const expectedMs = promptMs + this._waitMs(req, state, expectedRequests(state), now);
		const inFlight: InFlightRequest = {
			sentAt: now, tokens, urgency: req.urgency, expectedMs,
		};
		let isWaiting = true;
		state.usedAt = now;
		state.health.recordSent(now);
		state.recordSent(inFlight);
		this._prefixes.store(state.prefixes, req.prefixHashes, now);
		let isDone = false;
		return {
			firstToken: delayMs => {
				if (isWaiting) {
					isWaiting = false;
					state.recordFirstToken(inFlight, delayMs, this._clock.now());
					this._queueDelay.fire(Math.max(0, delayMs - promptMs));
				}
			},
			finish: ({failed}) => {
				if (!isDone) {
					isDone = true;
					isWaiting = false;
					const endedAt = this._clock.now();
					state.recordEnd(inFlight, failed, endedAt);
					state.health.record(failed, now, endedAt);
					if (state.health.isEjected && this._states.get(server.id) === state) {
						this._ejected.add(state);
					} else {
						this._ejected.delete(state);
					}
				}
			},
		};
	}

	reportLoad(id: string, incarnation: number, report: LoadReport): void {
		const state = this._stateById(id, incarnation);
		if (state.incarnation === incarnation) {
			state.applyReport(report);
		}
	}

	reportCache(id: string, incarnation: number, event: {sequence: number; stored: readonly number[]; evicted: readonly number[]}): void {
		const state = this._stateById(id, incarnation);
		if (state.incarnation === incarnation) {
			this._prefixes.applyEvent(state.prefixes, event, this._clock.now());
		}
	}

	expectedFirstTokenMs(req: SelectionRequest, candidates: readonly BackendServer[]): number | undefined {
		const now = this._clock.now();
		const pool = this._available(req, candidates, now);
		return pool.states.length === 0 ? undefined : this._score(req, this._sample(req, pool, now), this._loadBound(pool.states), now);
	}

	/** Servers that can take the request. The states of a candidate list are cached until any state is added or removed, because looking up each one is the main cost of a selection. */
	private _available(req: SelectionRequest, candidates: readonly BackendServer[], now: number): Pool {
		let known = this._poolsByList.get(candidates);
		if (known?.generation !== this._generation) {
			const states = candidates.map(server => this._stateOf(server));
			// The generation must be read after the lookups, because they may change it.
			known = {generation: this._generation, states, members: new Set(states)};
			this._poolsByList.set(candidates, known);
		}

		if (req.exclude.size === 0 && this._ejected.size === 0) {
			return known;
		}

		const states = availableStates(known.states.filter(state => !req.exclude.has(state.server!.id)), now);
		return {states, members: new Set(states)};
	}

	private _stateOf(server: BackendServer): ServerState {
		const state = this._stateById(server.id, server.incarnation);
		state.server = server;
		return state;
	}

	/** Holders of the prefix and a random share of the other servers. */
	private _sample(req: SelectionRequest, {states, members}: Pool, now: number): readonly ServerState[] {
		const share = this._sampleShare(states);
		this._prefixes.match(req.prefixHashes, now);
		if (share >= 1) {
			return states;
		}

		const sample: ServerState[] = [];
		// Geometric steps sample each server with the same probability without a random number for each.
		const logMiss = Math.log(1 - share);
		for (let index = geometric(this._random, logMiss); index < states.length; index += 1 + geometric(this._random, logMiss)) {
			if (this._prefixes.depthOf(states[index]!.prefixes) === 0) {
				sample.push(states[index]!);
			}
		}

		let holders = 0;
		for (const {id} of this._prefixes.matchedHolders) {
			const state = this._states.get(id);
			if (state && members.has(state)) {
				sample.push(state);
				holders++;
			}

			if (holders === maxSampledHolders) {
				break;
			}
		}

		return sample.length > 0 ? sample : states;
	}

	/** Sets the scores of the states. @returns the lowest score. */
	private _score(req: SelectionRequest, states: readonly ServerState[], bound: number, now: number): number {
		const hasHolder = this._prefixes.matchedHolders.length > 0;
		let best = Number.POSITIVE_INFINITY;
		for (const state of states) {
			const isHolder = hasHolder && this._prefixes.depthOf(state.prefixes) > 0;
			const requests = expectedRequests(state);
			const tokens = isHolder && requests <= bound ? this._uncachedTokens(req, state) : req.inputTokens;
			const promptMs = 1000 * tokens / state.prefillRate;
			state.score = ((promptMs + this._waitMs(req, state, requests, now)) * state.slowness(now)) + this._penaltyMs(state, now);
			best = Math.min(best, state.score);
		}

		return best;
	}

	/** Penalty in milliseconds for another availability zone and for overdue first tokens and reports. */
	private _penaltyMs(state: ServerState, now: number): number {
		return (state.server!.zone === this._zone ? 0 : this._crossZonePenaltyMs) + Math.min(maxFaultPenaltyMs, state.firstTokenOverdueMs(now) + state.reportOverdueMs(now));
	}

	/**
	Probability with which a server is sampled. Entry hosts with the same reports would all choose the same server until the next report.
	Local dispatches change the scores, so an entry host that sends many requests spreads them without sampling; one that sends few must choose from a small random sample.
	*/
	private _sampleShare(states: readonly ServerState[]): number {
		const step = Math.ceil(states.length / targetSampleSize);
		let sent = 0;
		for (let index = 0; index < states.length; index += step) {
			sent += states[index]!.sentSinceReport;
		}

		return Math.min(this._maxHerding * (1 + (sent * step)), targetSampleSize) / states.length;
	}

	/** Number of requests above which a cached prefix no longer counts for a server; computed from a sample if there are many servers. */
	private _loadBound(states: readonly ServerState[]): number {
		const step = Math.ceil(states.length / targetSampleSize);
		let sum = 0;
		let count = 0;
		for (let index = 0; index < states.length; index += step) {
			sum += expectedRequests(states[index]!);
			count++;
		}

		return (this._maxLoadRatio * sum / count) + loadSlack;
	}

	private _uncachedTokens(req: SelectionRequest, state: ServerState): number {
		const depth = this._prefixes.depthOf(state.prefixes);
		return depth === 0 ? req.inputTokens : req.inputTokens * (1 - (state.prefixes.trust * depth / req.prefixHashes.length));
	}

	/** Expected queueing delay in milliseconds before the prompt is processed, not corrected by the observed slowness of the server. */
	private _waitMs(req: SelectionRequest, state: ServerState, requests: number, now: number): number {
		return (1000 * tokensAhead(state, req.urgency, now) / state.prefillRate) + slotWaitMs(state, state.server!.capacity, requests);
	}

	private _stateById(id: string, incarnation: number): ServerState {
		const known = this._states.get(id);
		if (known && known.incarnation >= incarnation) {
			return known;
		}

		if (known) {
			this._invalidate(known);
		}

		const state = new ServerState(id, incarnation);
		state.usedAt = this._clock.now();
		this._states.set(id, state);
		this._generation++;
		if (this._states.size > maxStates) {
			this._removeUnused();
		}

		return state;
	}

	private _invalidate(state: ServerState): void {
		state.prefixes.isLive = false;
		this._ejected.delete(state);
		this._generation++;
	}

	private _removeUnused(): void {
		const oldest = this._clock.now() - stateMaxAgeMs;
		for (const [id, state] of this._states) {
			if (state.inFlight === 0 && state.usedAt < oldest) {
				this._invalidate(state);
				this._states.delete(id);
			}
		}
	}
}

/** Number of failures before the first success, where a failure has the probability with the given logarithm. */
function geometric(random: RandomSource, logMiss: number): number {
	return Math.floor(Math.log(1 - random.next()) / logMiss);
}
