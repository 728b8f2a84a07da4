import {type Disposable} from '../base/disposable.js';
import {AnswerRelay} from './answer-relay.js';
import {Attempt} from './attempt.js';
import {type AttemptEvents, type AttemptFailure} from './backend-port.js';
import {type CallerSink} from './caller-sink.js';
import {attemptTerms} from './attempt-terms.js';
import {chooseServer} from './choose-server.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {type AdmittedRequest} from './forwarder.js';
import {mayHaveRunRefusal, notRunRefusal, timeoutReason} from './router-refusals.js';
import {guardedEvents} from './guarded-events.js';
import {RequestModel} from './request-model.js';
import {mayRepeat} from './may-repeat.js';
import {reportRequest} from './request-report.js';
import {repetition} from './routing-config.js';

/** Backoff in milliseconds after a backend server refused a request without naming a time. */
const defaultBackoffMs = 150;
/** Minimum time in milliseconds until the deadline for another attempt. */
const minRetryTimeMs = 50;

/** Forwards one request from its admission to its final answer: attempts, retries, escalation, resumption and timeout. */
export class ForwardRun {
	private readonly _startedAt: number;
	private readonly _deadlineAt: number;
	private readonly _model: RequestModel;
	private readonly _relay: AnswerRelay;
	private readonly _isRepeatable: boolean;
	private readonly _tried = new Set<string>();
	/** Description of each attempt, for the log. */
	private readonly _trail: string[] = [];
	private _attempts = 0;
	private _mayHaveRun = false;
	private _current: Attempt | undefined;
	private _timer: Disposable | undefined;
	private _isFinished = false;

	constructor(
		private readonly _services: ForwardServices,
		private readonly _admitted: AdmittedRequest,
		private readonly _sink: CallerSink,
		private readonly _onFinished: () => void,
	) {
		const {req, route, arrivedAt} = _admitted;
		this._startedAt = arrivedAt;
		this._deadlineAt = this._startedAt + Math.min(req.deadlineMs ?? Infinity, route.timeoutMs);
		this._isRepeatable = mayRepeat(route);
		this._relay = new AnswerRelay(_sink, route.repetition === repetition.stream, req.resumeAfter);
		this._model = new RequestModel(_services, _admitted, this._startedAt);
	}

	start(): void {
		const {clock, budget} = this._services;
		budget(this._admitted.service).recordRequest();
		this._timer = clock.setTimer(this._remainingMs, () => {
			this._timeOut();
		});
		this._sink.onDisconnect = () => {
			this._finish('caller-gone');
		};

		this._sink.onDrain = () => {
			this._current?.handle?.resume();
		};

		this._attempt();
	}

	private get _remainingMs(): number {
		return this._deadlineAt - this._services.clock.now();
	}

	/** Sends the request to the best untried backend server. A tried one may be reused when the attempt asks another model. */
	private _attempt(mayReuseServer = false): void {
		const {clock, lease, port} = this._services;
		const record = chooseServer(this._services, this._admitted, this._tried, mayReuseServer);
		if (!record) {
			this._endWithoutAnswer('no-server');
			return;
		}

		// Checks the lease as late as possible: it may have expired since the request was admitted.
		if (!lease.isValid()) {
			this._endWithoutAnswer('lease-expired');
			return;
		}

		const attempt = new Attempt(record, this._model.name, clock.now());
		this._current = attempt;
		this._attempts++;
		this._tried.add(record.key);
		attempt.handle = port.send(this._admitted.req.message, attemptTerms(this._services, this._admitted, record, {
			remainingMs: this._remainingMs, model: attempt.model, resumeAfter: this._relay.lastEventId, isEscalated: this._model.isEscalated,
		}), this._eventsOf(attempt));
	}

	/** Returns the handlers for the events of an attempt; they ignore events after the attempt or the request has finished. */
	private _eventsOf(attempt: Attempt): AttemptEvents {
		return guardedEvents(() => !attempt.isFinished && !this._isFinished, {
			onHead: head => {
				this._onHead(attempt, head);
			},
			onData: chunk => this._onData(attempt, chunk),
			onEnd: () => {
				this._onEnd(attempt);
			},
			onFailure: failure => {
				this._onFailure(attempt, failure);
			},
		});
	}

	private _onHead(attempt: Attempt, head: AnswerHead): void {
		attempt.head = head;
		if (!head.isForRequest) {
			this._fail(attempt, 'answer-of-another-request');
			return;
		}

		if (head.isNotRun || head.isOtherServer) {
			this._onRefused(attempt, head);
			return;
		}

		this._mayHaveRun = true;
		const isFailed = head.status >= 500;
		this._observe(attempt, isFailed);
		if (isFailed && this._isRepeatable && this._takeRetry()) {
			this._abandon(attempt, `status-${head.status}`);
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

		this._relay.begin(head);
	}

	/** Records the status and latency of an answer for its backend server, release and model. */
	private _observe(attempt: Attempt, isFailed: boolean): void {
		const {clock, observer} = this._services;
		const {service, route} = this._admitted;
		const {record, sentAt} = attempt;
		const now = clock.now();
		this._model.observe(attempt);
		observer.observe({
			service, route: route.name, record, isFailed, latencyMs: now - sentAt,
		});
		record.health.record(isFailed, sentAt, now);
	}

	/** Drops the answer and asks a larger model when the confidence is too low. @returns whether a larger model was asked. */
	private _escalate(attempt: Attempt, {confidence}: AnswerHead): boolean {
		const larger = this._isRepeatable && this._attempts < this._admitted.route.maxAttempts ? this._model.largerThan(attempt.model, confidence) : undefined;
		if (larger === undefined || !this._takeRetry()) {
			return false;
		}

		this._abandon(attempt, `escalated-at-${confidence}`);
		this._model.use(larger);
		this._attempt(true);
		return true;
	}

	private _onData(attempt: Attempt, chunk: Uint8Array): boolean {
		const result = this._relay.push(attempt, chunk);
		if (result === 'too-long') {
			this._fail(attempt, 'answer-too-long');
			return true;
		}

		return result;
	}

	private _onEnd(attempt: Attempt): void {
		const {head} = attempt;
		const problem = head ? this._relay.problemOf(attempt, head) : 'no-answer';
		if (!head || problem) {
			this._fail(attempt, problem ?? 'no-answer');
			return;
		}

		this._trail.push(attempt.describe(String(head.status)));
		attempt.finish();
		this._finish(this._relay.end(attempt, head) ? 'answered' : 'unframed-end');
	}

	private _onFailure(attempt: Attempt, {isUnsent, reason}: AttemptFailure): void {
		if (!isUnsent) {
			this._fail(attempt, reason);
			return;
		}

		attempt.record.health.record(true, attempt.sentAt, this._services.clock.now());
		this._abandon(attempt, reason);
		this._attempts--;
		if (this._remainingMs > minRetryTimeMs) {
			this._attempt();
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Handles an answer which states that the backend server did not run the request. */
	private _onRefused(attempt: Attempt, {isOtherServer, retryAfterSeconds}: AnswerHead): void {
		const now = this._services.clock.now();
		if (isOtherServer) {
			attempt.record.health.record(true, attempt.sentAt, now);
		} else {
			attempt.record.overloadedUntil = now + (retryAfterSeconds === undefined ? defaultBackoffMs : retryAfterSeconds * 1000);
		}

		this._abandon(attempt, isOtherServer ? 'other-server' : 'not-run');
		this._retryOrEnd('server-refused');
	}

	/** Handles an attempt that may have run but has no usable answer. */
	private _fail(attempt: Attempt, reason: string): void {
		this._mayHaveRun = true;
		attempt.record.health.record(true, attempt.sentAt, this._services.clock.now());
		this._abandon(attempt, reason);
		if (this._isRepeatable) {
			this._retryOrEnd(reason);
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Retries at another backend server, or ends the request when no retry is allowed. */
	private _retryOrEnd(reason: string): void {
		if (this._takeRetry()) {
			this._attempt();
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Takes a retry from the budget, if attempts and time are left. @returns whether the request may be retried. */
	private _takeRetry(): boolean {
		const {route, service} = this._admitted;
		return this._attempts < route.maxAttempts && this._remainingMs > minRetryTimeMs && this._services.budget(service).take();
	}

	/** Ends the request without a complete answer of a backend server. */
	private _endWithoutAnswer(reason: string): void {
		if (this._sink.isStarted) {
			this._sink.destroy();
		} else {
			this._sink.refuse(this._mayHaveRun ? mayHaveRunRefusal(reason) : notRunRefusal(reason, this._services.random()));
		}

		this._finish(reason);
	}

	private _timeOut(): void {
		const attempt = this._current;
		if (attempt && !attempt.isFinished) {
			this._mayHaveRun = true;
			if (!attempt.head) {
				this._model.observe(attempt);
			}

			this._abandon(attempt, timeoutReason);
		}

		this._endWithoutAnswer(timeoutReason);
	}

	/** Records the outcome of an attempt for the log and aborts the attempt. */
	private _abandon(attempt: Attempt, outcome: string): void {
		this._trail.push(attempt.describe(outcome));
		attempt.abort();
	}

	private _finish(outcome: string): void {
		if (this._isFinished) {
			return;
		}

		if (this._current && !this._current.isFinished) {
			this._abandon(this._current, outcome);
		}

		this._isFinished = true;
		this._timer?.dispose();
		reportRequest(this._services, this._admitted, {
			startedAt: this._startedAt, attempts: this._attempts, trail: this._trail, outcome,
		});
		this._onFinished();
	}
}
