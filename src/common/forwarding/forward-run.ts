import {type Disposable} from '../base/disposable.js';
import {type AttemptFailure, type AttemptHandle} from './backend-port.js';
import {type CallerSink, type Refusal} from './caller-sink.js';
import {EventSplitter} from './event-splitter.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {type AdmittedRequest} from './forwarder.js';
import {type ModelContext} from './model-policy.js';
import {serversForRelease} from './release-rule.js';
import {repetition} from './routing-config.js';
import {type ServerRecord} from './server-pool.js';

/** Largest answer in bytes that is held until it is complete, so that a broken one can be asked again. */
const maxHeldBytes = 1024 * 1024;
/** Time in milliseconds for which a backend server that was full is passed over, unless it names another. */
const defaultFullMs = 150;
/** Range in seconds of the time after which a refused caller may come back; spread, so that callers do not return together. */
const retryAfterRange = [0.2, 0.6] as const;
/** Share of the connections of a backend server that all hosts together use; the rest is for health checks and hosts that join. */
const connectionShare = 0.8;
/** Least time in milliseconds that must be left for another attempt. */
const leastRetryMs = 50;
/** Status of an answer that failed on the way, or that ran out of time. */
const badGateway = 502;
const gatewayTimeout = 504;

/** Attempt in progress. */
type Attempt = {
	readonly record: ServerRecord;
	readonly model: string | undefined;
	readonly sentAt: number;
	handle: AttemptHandle | undefined;
	head: AnswerHead | undefined;
	readonly held: Uint8Array[];
	heldBytes: number;
	readonly splitter: EventSplitter;
	isOver: boolean;
};

/** One request from its admission to its final answer: attempts, retries, escalation, resumption and its time limit. */
export class ForwardRun {
	private readonly _startedAt: number;
	private readonly _deadlineAt: number;
	private readonly _tried = new Set<string>();
	private readonly _trail: string[] = [];
	private _attempts = 0;
	private _mayHaveRun = false;
	/** Whether the stream to the caller can tell that it is complete. */
	private _isStreamFramed = true;
	private _lastEventId: number | undefined;
	private _model: string | undefined;
	private _current: Attempt | undefined;
	private _timer: Disposable | undefined;
	private _isOver = false;

	constructor(
		private readonly _services: ForwardServices,
		private readonly _admitted: AdmittedRequest,
		private readonly _sink: CallerSink,
		private readonly _onOver: () => void,
	) {
		const {req, route} = _admitted;
		this._startedAt = _services.clock.now();
		this._deadlineAt = this._startedAt + Math.min(req.deadlineMs ?? Infinity, route.timeoutMs);
		this._lastEventId = req.resumeAfter;
	}

	start(): void {
		const {clock, models, budget} = this._services;
		const {route, req, service} = this._admitted;
		budget(service).noteRequest();
		this._timer = clock.setTimer(this._deadlineAt - clock.now(), () => {
			this._timeOut();
		});
		this._sink.onGone = () => {
			this._finish('caller-gone');
		};

		this._sink.onDrain = () => {
			this._current?.handle?.resume();
		};

		if (req.generation) {
			this._model = route.models.length > 0 && req.generation.model === undefined ? models.first(this._modelContext()!) : undefined;
		}

		this._attempt();
	}

	private get _mayRepeat(): boolean {
		const {route} = this._admitted;
		return route.repetition === repetition.idempotent || (route.repetition === repetition.stream && route.isResumable);
	}

	private get _remainingMs(): number {
		return this._deadlineAt - this._services.clock.now();
	}

	private _modelContext(): ModelContext | undefined {
		const {req: {generation}, route} = this._admitted;
		const now = this._services.clock.now();
		return generation && {
			route, generation, now, elapsedMs: now - this._startedAt,
		};
	}

	/** Sends the request to the best backend server that was not asked before. */
	private _attempt(): void {
		const {clock, lease, port, state} = this._services;
		const {req, route, customer, service} = this._admitted;
		const record = this._choose();
		if (!record) {
			this._giveUp('no-server');
			return;
		}

		// The lease is checked as late as possible; a caller may have waited since its admission.
		if (!lease.isValid()) {
			this._giveUp('lease-expired');
			return;
		}

		const {table, hostCount} = state();
		const connections = table?.services.get(service)?.maxConnections ?? 1;
		const attempt: Attempt = {
			record, model: this._model, sentAt: clock.now(), handle: undefined, head: undefined, held: [], heldBytes: 0, splitter: new EventSplitter(), isOver: false,
		};
		this._current = attempt;
		this._attempts++;
		this._tried.add(record.key);
		record.inFlight++;
		record.health.started(attempt.sentAt);
		const isOn = () => !attempt.isOver && !this._isOver;
		attempt.handle = port.send(req.message, {
			requestId: req.id,
			serverId: record.server.id,
			address: record.server.address,
			maxConnections: Math.max(1, Math.floor(connections * connectionShare / Math.max(1, hostCount))),
			remainingMs: Math.max(1, Math.floor(this._remainingMs)),
			customer: customer?.name,
			model: this._model ?? req.generation?.model,
			priority: req.generation && (customer?.priority ?? route.priority),
			resumeAfter: this._lastEventId,
			repetition: route.repetition,
		}, {
			onHead: head => {
				if (isOn()) {
					this._onHead(attempt, head);
				}
			},
			onData: chunk => isOn() ? this._onData(attempt, chunk) : true,
			onEnd: () => {
				if (isOn()) {
					this._onEnd(attempt);
				}
			},
			onFailure: failure => {
				if (isOn()) {
					this._onFailure(attempt, failure);
				}
			},
		});
	}

	private _choose(): ServerRecord | undefined {
		const {
			pool, placement, state, clock, zone, sessions,
		} = this._services;
		const {req, service} = this._admitted;
		const parts = req.generation?.parts ?? [];
		const shared = parts.at(-2)?.id ?? parts[0]?.id;
		const rollout = state().rollouts.get(service);
		const session = {key: req.session ?? parts.at(-1)?.id ?? req.id, isHeld: req.session !== undefined && sessions.isHeld(req.session)};
		const all = serversForRelease(rollout, session, pool.ready(service));
		const fresh = all.filter(({key}) => !this._tried.has(key));
		// The same server may be asked for another model.
		const candidates = fresh.length > 0 ? fresh : (this._trail.at(-1)?.endsWith('escalated') ? all : []);
		const record = placement.choose({affinityKey: shared, zone}, candidates, clock.now());
		if (record && req.session !== undefined && record.server.release !== rollout?.target) {
			sessions.note(req.session);
		}

		return record;
	}

	private _onHead(attempt: Attempt, head: AnswerHead): void {
		const {record, sentAt} = attempt;
		const {clock, observer} = this._services;
		const {service, route} = this._admitted;
		const now = clock.now();
		attempt.head = head;
		if (!head.isForRequest) {
			this._fail(attempt, 'answer-of-another-request');
			return;
		}

		if (head.isNotRun || head.isOtherServer) {
			this._refused(attempt, head);
			return;
		}

		this._mayHaveRun = true;
		const isFailed = head.status >= 500;
		const latencyMs = now - sentAt;
		this._observeLatency(attempt);
		observer.observe({
			service, route: route.name, record, isFailed, latencyMs,
		});
		record.health.record(isFailed, sentAt, now);
		if (isFailed && this._mayRepeat && this._takeRetry()) {
			this._leave(attempt, `status-${head.status}`);
			this._attempt();
			return;
		}

		const isSuccess = head.status >= 200 && head.status < 300;
		if ((isSuccess && !head.isSigned) || (this._sink.isStarted && !isSuccess)) {
			this._fail(attempt, isSuccess ? 'unsigned-answer' : `resumed-${head.status}`);
			return;
		}

		if (isSuccess && !this._sink.isStarted && this._escalate(attempt, head)) {
			return;
		}

		if (this._isStreamed(head) && !this._sink.isStarted) {
			this._sink.head(head.status, head.headers, head.isUnframed ? 'until-close' : 'chunked');
			this._isStreamFramed = !head.isUnframed;
		}
	}

	/** Asks a larger model when the answer is not good enough; the answer so far is dropped. */
	private _escalate(attempt: Attempt, {confidence}: AnswerHead): boolean {
		const context = this._modelContext();
		if (!context || attempt.model === undefined || confidence === undefined || !this._mayRepeat || this._attempts >= this._admitted.route.maxAttempts) {
			return false;
		}

		const larger = this._services.models.escalate(context, attempt.model, confidence);
		if (larger === undefined || !this._takeRetry()) {
			return false;
		}

		this._leave(attempt, 'escalated');
		this._model = larger;
		this._attempt();
		return true;
	}

	private _onData(attempt: Attempt, chunk: Uint8Array): boolean {
		const {head} = attempt;
		if (!head) {
			return true;
		}

		if (this._isStreamed(head)) {
			const {bytes, lastId} = attempt.splitter.push(chunk);
			this._lastEventId = lastId ?? this._lastEventId;
			return bytes ? this._sink.data(bytes) : true;
		}

		attempt.held.push(chunk);
		attempt.heldBytes += chunk.length;
		if (attempt.heldBytes > maxHeldBytes) {
			this._fail(attempt, 'answer-too-long');
		}

		return true;
	}

	private _onEnd(attempt: Attempt): void {
		const {head} = attempt;
		if (!head) {
			this._fail(attempt, 'no-answer');
			return;
		}

		if (this._isStreamed(head)) {
			if (attempt.splitter.rest.length > 0) {
				this._fail(attempt, 'torn-event');
				return;
			}

			this._release(attempt);
			this._trail.push(`${attempt.record.server.id}:${head.status}`);
			if (this._isStreamFramed && head.isUnframed) {
				// Another run began the stream, and the end of this one may be that of a crash.
				this._sink.cut();
				this._finish('unframed-end');
				return;
			}

			this._sink.end();
			this._finish('answered');
			return;
		}

		if (head.length !== undefined && head.length !== attempt.heldBytes) {
			this._fail(attempt, 'short-answer');
			return;
		}

		this._release(attempt);
		this._trail.push(`${attempt.record.server.id}:${head.status}`);
		this._sink.head(head.status, head.headers, head.isUnframed ? 'until-close' : attempt.heldBytes);
		for (const chunk of attempt.held) {
			this._sink.data(chunk);
		}

		this._sink.end();
		this._finish('answered');
	}

	private _onFailure(attempt: Attempt, {isUnsent, reason}: AttemptFailure): void {
		if (isUnsent) {
			const {clock} = this._services;
			attempt.record.health.record(true, attempt.sentAt, clock.now());
			this._leave(attempt, reason);
			this._attempts--;
			if (this._remainingMs > leastRetryMs) {
				this._attempt();
			} else {
				this._giveUp(reason);
			}

			return;
		}

		this._fail(attempt, reason);
	}

	/** The backend server says that it did not run the request. */
	private _refused(attempt: Attempt, {isOtherServer, retryAfterSeconds}: AnswerHead): void {
		const {clock} = this._services;
		const now = clock.now();
		if (isOtherServer) {
			attempt.record.health.record(true, attempt.sentAt, now);
		} else {
			attempt.record.fullUntil = now + (retryAfterSeconds === undefined ? defaultFullMs : retryAfterSeconds * 1000);
		}

		this._leave(attempt, isOtherServer ? 'other-server' : 'not-run');
		if (this._attempts < this._admitted.route.maxAttempts && this._remainingMs > leastRetryMs && this._services.budget(this._admitted.service).take()) {
			this._attempt();
		} else {
			this._giveUp('server-refused');
		}
	}

	/** The attempt may have run and gives no usable answer. */
	private _fail(attempt: Attempt, reason: string): void {
		const {clock} = this._services;
		this._mayHaveRun = true;
		attempt.record.health.record(true, attempt.sentAt, clock.now());
		this._leave(attempt, reason);
		if (this._mayRepeat && this._takeRetry()) {
			this._attempt();
			return;
		}

		this._giveUp(reason);
	}

	private _takeRetry(): boolean {
		const {route, service} = this._admitted;
		return this._attempts < route.maxAttempts && this._remainingMs > leastRetryMs && this._services.budget(service).take();
	}

	/** Ends the request without an answer of a backend server. */
	private _giveUp(reason: string): void {
		if (this._sink.isStarted) {
			this._sink.cut();
		} else {
			this._sink.refuse(this._refusal(reason));
		}

		this._finish(reason);
	}

	private _refusal(code: string): Refusal {
		if (this._mayHaveRun) {
			return {status: code === 'timeout' ? gatewayTimeout : badGateway, code, ran: 'unknown'};
		}

		const [least, most] = retryAfterRange;
		return {
			status: 503, code, ran: 'no', retryAfterSeconds: least + (this._services.random() * (most - least)),
		};
	}

	private _timeOut(): void {
		if (this._current && !this._current.isOver) {
			this._mayHaveRun = true;
			if (!this._current.head) {
				this._observeLatency(this._current);
			}

			this._leave(this._current, 'timeout');
		}

		this._giveUp('timeout');
	}

	private _observeLatency({model, sentAt}: Attempt): void {
		const context = this._modelContext();
		if (context && model !== undefined) {
			this._services.models.observe(context, model, context.now - sentAt);
		}
	}

	/** Ends an attempt that is not used any more; its connection is closed, so that the backend server stops. */
	private _leave(attempt: Attempt, outcome: string): void {
		this._trail.push(`${attempt.record.server.id}:${attempt.model === undefined ? '' : `${attempt.model}:`}${outcome}`);
		this._release(attempt);
		attempt.handle?.abort();
	}

	private _release(attempt: Attempt): void {
		if (!attempt.isOver) {
			attempt.isOver = true;
			attempt.record.inFlight--;
		}
	}

	private _isStreamed({status}: AnswerHead): boolean {
		return this._admitted.route.repetition === repetition.stream && status >= 200 && status < 300;
	}

	private _finish(outcome: string): void {
		if (this._isOver) {
			return;
		}

		if (this._current && !this._current.isOver) {
			this._leave(this._current, outcome);
		}

		this._isOver = true;
		this._timer?.dispose();
		const {clock, counters, logger, lease} = this._services;
		const {req, route, configVersion, customer} = this._admitted;
		const now = clock.now();
		counters.increment('forward.finished', 1, {outcome, route: route.name});
		counters.timing('forward.duration', now - this._startedAt, {route: route.name});
		logger.info({
			req: req.id, route: route.name, customer: customer?.name, config: configVersion, leaseLeftMs: Math.round(lease.expiresAt - now), attempts: this._attempts, trail: this._trail, model: this._model, ms: Math.round(now - this._startedAt), outcome,
		}, 'request finished');
		this._onOver();
	}
}
