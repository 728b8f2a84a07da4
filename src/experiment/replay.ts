import {hashString} from '../common/base/hash-string.js';
import {SeededRandom} from '../common/base/seeded-random.js';
import {type AttemptOutcome} from '../common/routing/attempt-outcome.js';
import {type CascadePolicy} from '../common/routing/cascade-policy.js';
import {type LearntState} from '../common/routing/estimate-totals.js';
import {type Plan} from '../common/routing/plan.js';
import {EnginePool} from './engine-pool.js';
import {answerCost} from './oracle.js';
import {RatingService} from './rating-service.js';
import {ReplayMetrics} from './replay-metrics.js';
import {type ReplayResult} from './replay-result.js';
import {type SimClock} from './sim-clock.js';
import {type Trace, type TraceEvent, type TraceRequest} from './trace.js';
import {VersionGuard} from './version-guard.js';

/** Policies of the entry hosts in a replay, and the exchange of their estimates. */
export interface ReplayPolicies {
	readonly name: string;
	readonly hosts: readonly CascadePolicy[];
	/** Exchanges the estimates of the hosts; called every minute. */
	readonly exchange?: () => void;
	/** Merged estimates of all hosts, as they would be written to the control log. */
	readonly learnt?: () => LearntState;
}

type ActiveRequest = {request: TraceRequest; host: number; plan: Plan; startedAt: number; earlier: Array<{ref: string; confidence: number}>};

/** Renewal interval in milliseconds; evidence of one host counts at all hosts after it. */
const renewMs = 1000;
const exchangeMs = 60_000;
/** Time in milliseconds after the last request in which late answers and ratings are still processed. */
const drainMs = 600_000;

/** Replays a trace with the given policies, on its own engines and rating service. */
export class Replay {
	private readonly _engines: EnginePool;
	private readonly _ratings: RatingService;
	private readonly _guard: VersionGuard;
	private readonly _metrics: ReplayMetrics;
	private readonly _pins = new Map<string, string>();
	private readonly _random;
	private readonly _endMs: number;

	constructor(private readonly _trace: Trace, private readonly _clock: SimClock, private readonly _policies: ReplayPolicies) {
		const {header, requests} = _trace;
		this._endMs = requests.at(-1)!.at + 1;
		this._engines = new EnginePool(header.engines, _clock);
		this._ratings = new RatingService(_clock, header.ratingsPerSecond);
		this._guard = new VersionGuard(_clock, header, _policies.hosts.length);
		this._metrics = new ReplayMetrics(_policies.name, this._endMs);
		this._random = new SeededRandom(header.seed).fork('sampling');
		this._guard.onQuarantine(({requestClass, ref, reason}) => {
			this._metrics.quarantines.push(`${(_clock.now() / 3_600_000).toFixed(2)} h ${ref} ${requestClass}: ${reason}`);
		});
	}

	run(): ReplayResult {
		for (const event of this._trace.events) {
			this._clock.setTimer(event.at, () => {
				this._applyEvent(event);
			});
		}

		this._repeat(renewMs, () => {
			this._guard.renew();
		});
		this._repeat(exchangeMs, () => {
			this._policies.exchange?.();
		});
		for (const request of this._trace.requests) {
			this._clock.runUntil(request.at);
			this._start(request);
		}

		this._clock.runUntil(this._endMs + drainMs);
		return this._metrics.result();
	}

	private _start(request: TraceRequest): void {
		const {header} = this._trace;
		const host = hashString(request.customer + request.id) % this._policies.hosts.length;
		const refs = new Set(this._guard.candidates(host, request.requestClass, request.session ?? request.id).filter(ref => request.answers[ref]));
		const pin = request.session === undefined ? undefined : this._pins.get(request.session);
		const pinned = pin !== undefined && !this._guard.isQuarantined(request.requestClass, pin) ? pin : undefined;
		const plan = this._policies.hosts[host]!.plan({
			service: header.service, requestClass: request.requestClass, urgency: request.urgency, deadlineMs: request.deadlineMs,
			inputTokens: request.inputTokens, maxTokens: request.maxTokens, pinned, startsSession: request.session !== undefined,
			qualityTarget: header.qualityTarget, qualityConfidence: header.qualityConfidence, ratingAvailable: this._ratings.isAvailable,
			candidates: header.versions.filter(({ref}) => refs.has(ref)).map(version => ({
				...version, expectedFirstTokenMs: this._engines.expectedFirstTokenMs(version.ref, request.inputTokens, request.prefixes),
			})),
		});
		this._metrics.addPlan(plan.reason);
		this._attempt({
			request, host, plan, startedAt: this._clock.now(), earlier: [],
		}, 0);
	}

	private _attempt(active: ActiveRequest, step: number): void {
		const {request, host, plan} = active;
		const {ref} = plan.steps[step]!;
		const attemptId = `${request.id}/${step}`;
		const answer = request.answers[ref]!;
		this._guard.recordSent(host, {attemptId, ref});
		const sentAt = this._clock.now();
		this._engines.run(ref, {
			urgency: request.urgency, inputTokens: request.inputTokens, outputTokens: answer.outputTokens, prefixes: request.prefixes,
			onDone: result => {
				if (result) {
					this._finish(active, step, attemptId, {...result, firstTokenMs: this._clock.now() - sentAt - (result.betweenTokensMs * answer.outputTokens)});
				} else {
					this._fail(active, step);
				}
			},
		});
	}

	private _finish(active: ActiveRequest, step: number, attemptId: string, times: {firstTokenMs: number; betweenTokensMs: number}): void {
		const {request, host, plan, earlier} = active;
		const {ref, minConfidence, ratingProbability: planned} = plan.steps[step]!;
		const ratingProbability = this._guard.ratingProbability(host, ref, planned);
		const answer = request.answers[ref]!;
		const last = step === plan.steps.length - 1;
		const delivered = last || (answer.result === 'answered' && answer.confidence >= (minConfidence ?? 0));
		const ratingRequested = answer.result === 'answered' && this._random.next() < ratingProbability;
		const outcome: AttemptOutcome = {
			attemptId, service: this._trace.header.service, requestClass: request.requestClass, ref, step, earlier: [...earlier], delivered,
			pinned: plan.reason === 'pinned',
			unconditional: plan.steps.slice(0, step).every(other => other.minConfidence === 1), ratingRequested,
			result: answer.result, confidence: answer.confidence, ratingProbability, inputTokens: request.inputTokens, outputTokens: answer.outputTokens, ...times,
		};
		this._observe(host, outcome);
		if (ratingRequested) {
			this._metrics.ratings++;
			this._ratings.rate(answer.ratingDelayMs, () => {
				this._observe(host, {...outcome, rating: answer.rating});
			});
		}

		this._metrics.addAttempt(request.at, answerCost(this._trace.header, request, ref), delivered);
		if (delivered) {
			this._deliver(active, ref, answer.rating, times);
		} else {
			active.earlier.push({ref, confidence: answer.confidence});
			this._attempt(active, step + 1);
		}
	}

	private _deliver({request, startedAt, plan}: ActiveRequest, ref: string, rating: number, times: {betweenTokensMs: number}): void {
		if (request.session !== undefined) {
			this._pins.set(request.session, ref);
		}

		// An answer that may be discarded is buffered, so its first token is sent together with its last.
		const buffered = plan.steps.length > 1 && plan.steps.at(-1)!.ref !== ref;
		const streamedMs = buffered ? 0 : times.betweenTokensMs * request.answers[ref]!.outputTokens;
		this._metrics.exposure += this._isBad(request, ref) ? 1 : 0;
		this._metrics.addAnswer(request.at, request.urgency, rating, this._clock.now() - startedAt - streamedMs);
	}

	private _fail(active: ActiveRequest, step: number): void {
		if (step + 1 < active.plan.steps.length) {
			active.earlier.push({ref: active.plan.steps[step]!.ref, confidence: 0});
			this._attempt(active, step + 1);
		} else {
			this._metrics.addAnswer(active.request.at, active.request.urgency, 0);
		}
	}

	private _observe(host: number, outcome: AttemptOutcome): void {
		this._policies.hosts[host]!.observe(outcome);
		this._guard.observe(host, outcome);
	}

	private _isBad({at, requestClass}: TraceRequest, ref: string): boolean {
		return this._trace.header.bad?.some(bad => bad.ref === ref && bad.requestClass === requestClass && at >= bad.from) ?? false;
	}

	private _applyEvent(event: TraceEvent): void {
		switch (event.event) {
			case 'engine-failed':
			case 'engine-recovered': {
				this._engines.setAlive(event.engine!, event.event === 'engine-recovered');
				break;
			}

			case 'ratings-down':
			case 'ratings-up': {
				this._ratings.isAvailable = event.event === 'ratings-up';
				break;
			}
		}
	}

	private _repeat(intervalMs: number, callback: () => void): void {
		this._clock.setTimer(intervalMs, () => {
			callback();
			this._repeat(intervalMs, callback);
		});
	}
}
