import {heldKind} from '../base/held-bytes.js';
import {type Disposable} from '../base/disposable.js';
import {AnswerDelivery} from './answer-delivery.js';
import {Attempt} from './attempt.js';
import {AttemptRecorder} from './attempt-recorder.js';
import {AttemptEvidence} from './attempt-evidence.js';
import {type AttemptEvents, type AttemptFailure, withdrawnReason} from './backend-port.js';
import {CallerAnswer} from './caller-answer.js';
import {type CallerSink, type Refusal} from './caller-sink.js';
import {attemptTerms, priorityOf} from './attempt-terms.js';
import {
	chooseServer, hasFreeServer, limitShare, pauseOfAllMs,
} from './choose-server.js';
import {ColdWait} from './cold-wait.js';
import {type EscalatingRequest, Escalation} from './escalation.js';
import {type AnswerHead} from './forward-request.js';
import {type ForwardServices} from './forward-services.js';
import {type AdmittedRequest} from './forwarder.js';
import {
	coldReason, evacuatedReason, evacuatedRefusal, mayHaveRunRefusal, notRunRefusal, pausedRefusal, quarantinedPartReason, quarantinedRefusal, quarantinedRequestReason, serversUnreachableReason, stoppingReason, timeoutReason, tooMuchHeldReason,
} from './router-refusals.js';
import {HandOver} from './hand-over.js';
import {guardedEvents} from './guarded-events.js';
import {CrashGuard} from './crash-guard.js';
import {headVerdict, isSuccess, judgeHead} from './head-verdict.js';
import {type RepeatPurpose, repeatPurpose} from './repeat-budget.js';
import {RequestModel} from './request-model.js';
import {RequestAttempts} from './request-attempts.js';
import {nullReleaseObserver} from './null-release-observer.js';
import {type ServerRecord} from './server-pool.js';
import {nullSpeedProbe} from './speed-observer.js';
import {reportRequest} from './request-report.js';
import {WriteCheck} from './write-check.js';

/** What a run needs of the forwarder that admitted its request. */
export interface RunHost {
	/** Called once when the run has finished. */
	onFinished(): void;
	/** Admits the request again, of which nothing has been written; called after `onFinished`. */
	readmit(): void;
}

/** Forwards one request from its admission to its final answer: attempts, retries, escalation, resumption and timeout. */
export class ForwardRun implements EscalatingRequest {
	readonly startedAt: number;
	readonly deadlineAt: number;
	readonly model: RequestModel;
	private readonly _escalation: Escalation;
	private readonly _answer: CallerAnswer;
	private readonly _delivery: AnswerDelivery;
	private readonly _attempts: RequestAttempts;
	private readonly _crashes: CrashGuard;
	private readonly _handOver: HandOver;
	private readonly _records: AttemptRecorder;
	private readonly _check: WriteCheck;
	/** Description of each attempt, for the log. */
	private readonly _trail: string[] = [];
	private _mayHaveRun = false;
	private _current: Attempt | undefined;
	private _timer: Disposable | undefined;
	/** Place of the request in the queue for a connection. */
	private _wait: Disposable | undefined;
	private readonly _coldWait: ColdWait;
	private _isFinished = false;

	constructor(
		private readonly _services: ForwardServices,
		private readonly _admitted: AdmittedRequest,
		private readonly _sink: CallerSink,
		private readonly _host: RunHost,
	) {
		const {req, route, arrivedAt} = _admitted;
		this.startedAt = arrivedAt;
		this.deadlineAt = this.startedAt + Math.min(req.deadlineMs ?? Infinity, route.timeoutMs);
		this._attempts = new RequestAttempts(_services, _admitted, this.deadlineAt);
		this._crashes = new CrashGuard(_services, _admitted);
		this._handOver = new HandOver(_services, _admitted);
		this._coldWait = new ColdWait(_services.clock, _admitted);
		this._answer = new CallerAnswer(_sink);
		this._delivery = new AnswerDelivery(_services.clock, this._answer, _admitted, this._attempts.isRepeatable
			? () => this._onStall()
			: undefined);
		this.model = new RequestModel(_services, _admitted, this.startedAt, this.deadlineAt);
		this._records = new AttemptRecorder(_services, _admitted, this.model, this._crashes);
		this._escalation = new Escalation(_services, _admitted, this);
		this._check = new WriteCheck(_services, _admitted, this.deadlineAt);
	}

	private get _remainingMs(): number {
		return this.deadlineAt - this._services.clock.now();
	}

	start(): void {
		const {clock, budget} = this._services;
		// A request that was handed over counts at the host that its caller has sent it to, and one that is admitted again has been counted.
		if (this._admitted.req.attemptsLeft === undefined && !this._admitted.isReadmitted) {
			budget(this._admitted.service).recordRequest();
		}

		this._timer = clock.setTimer(this._remainingMs, () => {
			this._timeOut();
		});
		this._sink.onDisconnect = () => {
			this._answer.leave();
			this._finish('caller-gone');
		};

		this._sink.onDrain = () => {
			this._delivery.resume();
			this._current?.handle?.resume();
		};

		this._attempt();
	}

	/** Ends the request because the process ends: with a held answer that is complete, or else visibly incomplete. */
	stop(): void {
		this._escalation.dropIncomplete(stoppingReason);
		this._cutOff(stoppingReason);
	}

	askLarger(): void {
		this._sendToBest(new Set());
	}

	takeRepeat(purpose: RepeatPurpose): boolean {
		return this._check.allowsRetry && this._attempts.takeRepeat(purpose);
	}

	/** Delivers the answer of an earlier attempt, as far as it has arrived, in place of the attempt in flight. */
	deliver(earlier: Attempt): void {
		this._wait?.dispose();
		this._coldWait.dispose();
		if (this._current && this._current !== earlier && !this._current.isFinished) {
			this.model.recordFirstEvent(this._current);
			this._current.evidence.recordSilence(this._services.clock.now());
			this.abandon(this._current, 'slower-than-held');
		}

		this._current = earlier;
		this._delivery.beginHeld(earlier);
		if (earlier.hasEnded && !this._isFinished) {
			this._onEnd(earlier);
		}
	}

	/** Records the outcome of an attempt for the log and aborts the attempt. */
	abandon(attempt: Attempt, outcome: string): void {
		this._trail.push(attempt.describe(outcome));
		attempt.abort();
	}

	note(decision: string): void {
		this._trail.push(decision);
	}

	/** Handles a request that the configuration in force does not allow as it was admitted. */
	private _readmitOrEnd(): void {
		// A server that has refused the request must not get it again: a copy of its refusal would look like a new one.
		if (this._attempts.count > 0 || this._sink.isStarted) {
			this._endWithoutAnswer('configuration-changed');
		} else {
			this._finish('admitted-again');
			this._host.readmit();
		}
	}

	/** Sends the request to the best untried backend server. */
	private _attempt(): void {
		this._sendToBest(this._attempts.tried);
	}

	/** Sends the request to the best backend server, except the given ones, or to another entry host when the servers cannot be reached. */
	private _sendToBest(excluded: ReadonlySet<string>): void {
		if (!this._trySend(excluded)) {
			this._waitForPlace(excluded);
		}
	}

	/** Sends the request like `_sendToBest`, or ends it. @returns false when it waits: all connections to the servers that may take it are in use, or a cold one has room soon. */
	private _trySend(excluded: ReadonlySet<string>): boolean {
		this._coldWait.dispose();
		const refusal = this._crashes.refuse();
		if (refusal !== undefined) {
			this._endWithoutAnswer(refusal);
			return true;
		}

		if (!this._check.isAllowed) {
			this._readmitOrEnd();
			return true;
		}

		// The lease may have expired since the request was admitted.
		if (!this._services.lease.isValid()) {
			this._endWithoutAnswer('lease-expired');
			return true;
		}

		const {record, isFull, roomInMs} = chooseServer(this._services, this._admitted, excluded);
		if (!record && !isFull && this._services.pool.isEvacuated(this._admitted.service)) {
			// Another host would not send it either.
			this._endWithoutAnswer(evacuatedReason);
			return true;
		}

		const host = this._escalation.isHolding ? undefined : this._handOver.next(record !== undefined || isFull);
		if (host) {
			this._send(host, true);
		} else if (this._handOver.isLost) {
			this._endWithoutAnswer(serversUnreachableReason);
		} else if (record) {
			this._send(record, false);
		} else if (isFull || this._waitForRoom(roomInMs)) {
			return false;
		} else {
			this._endWithoutAnswer(roomInMs === undefined ? 'no-server' : coldReason);
		}

		return true;
	}

	/** Waits until a cold server has room. @returns false when it does not have it soon enough. */
	private _waitForRoom(roomInMs = Infinity): boolean {
		return this._coldWait.start(roomInMs, () => {
			this._services.places.release(this._admitted.service, Infinity);
		});
	}

	/** Waits until a server that may take the request has a free connection, or a cold one has room. */
	private _waitForPlace(excluded: ReadonlySet<string>): void {
		const {places, counters, logger} = this._services;
		const {service, req, customer} = this._admitted;
		this._current = undefined;
		this._wait = places.add(service, () => this._trySend(excluded), {urgency: priorityOf(this._admitted, this.model.isEscalated), customer: customer?.name});
		if (this._wait && this._coldWait.isWaiting) {
			counters.increment('forward.waited-for-cold-server', 1, {service});
			logger.info({req: req.id, service, waiting: places.size}, 'request waits for a cold server');
		} else if (this._wait) {
			counters.increment('forward.waited-for-connection', 1, {service});
			logger.info({req: req.id, service, waiting: places.size}, 'request waits for a connection to a server');
		} else {
			this._endWithoutAnswer('too-many-waiting');
		}
	}

	private _send(record: ServerRecord, isHandedOver: boolean): void {
		const {
			clock, port, peerPort, observer, counters, places, held, cold, serverSpeeds,
		} = this._services;
		const {service, route, req} = this._admitted;
		const now = clock.now();
		record.recordSent(limitShare(this._services), now);
		cold.recordSent(record);
		const model = isHandedOver ? undefined : this.model.name;
		const subject = {
			service, route: route.name, record, model: model ?? req.generation?.model,
		};
		const probe = isHandedOver ? nullSpeedProbe : serverSpeeds.observe({...subject, inputTokens: req.generation?.inputTokens ?? 0, sentAt: now});
		const attempt = new Attempt(record, model, now, new AttemptEvidence(isHandedOver ? nullReleaseObserver : observer, subject, now, probe), held.open(record.key, record.server.id, () => {
			this._onGivenUp(attempt);
		}, heldKind.bufferedAnswer), isHandedOver, () => {
			places.release(service);
		});
		const {left} = this._attempts;
		this._current = attempt;
		this._attempts.add(record.key);
		// A held answer has a timeout of its own.
		this._delivery.awaitHead(!this._escalation.isHolding);
		const state = {remainingMs: this._remainingMs, resumeAfter: this._delivery.lastEventId};
		if (isHandedOver) {
			counters.increment('forward.handed-over');
			// The other host chooses the model, unless the caller has a part of an answer already.
			attempt.handle = peerPort.send(req.message, this._handOver.terms(record, {
				...state, model: this._answer.isStarted ? this.model.name : undefined, attemptsLeft: left,
			}), this._eventsOf(attempt));
		} else {
			attempt.handle = port.send(req.message, attemptTerms(this._services, this._admitted, record, {
				...state, model: attempt.model, isEscalated: this.model.isEscalated,
			}), this._eventsOf(attempt));
		}
	}

	/** Returns the handlers for the events of an attempt; they ignore events after the attempt or the request has finished. */
	private _eventsOf(attempt: Attempt): AttemptEvents {
		return guardedEvents(() => !attempt.isFinished && !this._isFinished, {
			mayStart: () => attempt.isHandedOver ? this._check.allowsHost(attempt.record) : this._check.allowsServer(attempt.record),
			onHead: head => {
				this._onHead(attempt, head);
			},
			onData: chunk => {
				attempt.evidence.recordChunk(this._services.clock.now(), chunk.length);
				return this._onData(attempt, chunk);
			},
			onEnd: () => {
				this._onEnd(attempt);
			},
			onFailure: failure => {
				this._onFailure(attempt, failure);
			},
		});
	}

	private _onHead(attempt: Attempt, head: AnswerHead): void {
		this._records.recordHead(attempt, head);
		const verdict = judgeHead(head, this._answer.isStarted);

		if (verdict === headVerdict.foreign) {
			this._fail(attempt, verdict);
			return;
		}

		if (verdict === headVerdict.refused) {
			this._onRefused(attempt, head);
			return;
		}

		this._mayHaveRun = true;
		this._records.recordAnswer(attempt, verdict === headVerdict.failed || verdict === headVerdict.unproven);
		if (!isSuccess(head) && this._escalation.isHolding) {
			this.abandon(attempt, `status-${head.status}`);
			this._escalation.deliver();
			return;
		}

		if (verdict === headVerdict.unproven) {
			this._onUnproven(attempt, head);
			return;
		}

		if (verdict === headVerdict.failed && !attempt.isHandedOver && this._attempts.isRepeatable && this.takeRepeat(repeatPurpose.retry)) {
			this.abandon(attempt, `status-${head.status}`);
			this._attempt();
			return;
		}

		if (verdict === headVerdict.unusable || (verdict === headVerdict.failed && this._answer.isStarted)) {
			this._fail(attempt, isSuccess(head) ? 'unsigned-answer' : `resumed-${head.status}`);
			return;
		}

		if (isSuccess(head) && !this._answer.isStarted && !attempt.isHandedOver && this._attempts.mayRunAgain && this._escalation.start(attempt)) {
			return;
		}

		this._escalation.drop('escalated');
		this._delivery.begin(head);
	}

	/** Asks another backend server when the current one has sent nothing for too long. Without another one or a retry, the request waits on. @returns whether it does. */
	private _onStall(): boolean {
		const attempt = this._current;
		if (!attempt || attempt.isFinished) {
			return false;
		}

		const isOtherFree = this._handOver.isLost || hasFreeServer(this._services, this._admitted, this._attempts.tried);
		if (!isOtherFree || !this.takeRepeat(repeatPurpose.retry)) {
			return true;
		}

		this._mayHaveRun = true;
		this._records.recordStall(attempt);
		this.abandon(attempt, 'stalled');
		this._attempt();
		return false;
	}

	private _onData(attempt: Attempt, chunk: Uint8Array): boolean {
		if (this._escalation.holds(attempt)) {
			const problem = this._delivery.hold(attempt, chunk);
			if (problem === 'answer-too-long') {
				this._dropHeld(problem);
			} else if (problem) {
				this._fail(attempt, problem);
			}

			return true;
		}

		const result = this._delivery.push(attempt, chunk);
		if (typeof result === 'string') {
			this._fail(attempt, result);
			return true;
		}

		return result;
	}

	private _onEnd(attempt: Attempt): void {
		const problem = this._delivery.problemOf(attempt);
		if (problem) {
			this._records.recordBroken(attempt);
			this._fail(attempt, problem);
			return;
		}

		if (this._escalation.holds(attempt)) {
			attempt.hasEnded = true;
			attempt.finish();
			return;
		}

		this.model.recordEnd(attempt);
		this._crashes.recordComplete(attempt);
		this._trail.push(attempt.describe(String(attempt.head!.status)));
		attempt.finish();
		this._delivery.end(attempt);
		this._finish('answered');
	}

	private _onFailure(attempt: Attempt, {isUnsent, reason}: AttemptFailure): void {
		if (!isUnsent) {
			this._records.recordBroken(attempt);
			this._fail(attempt, reason);
			return;
		}

		if (reason !== withdrawnReason) {
			this._records.recordUnsent(attempt);
			if (!attempt.isHandedOver) {
				this._handOver.recordUnreached();
			}
		}

		this.abandon(attempt, reason);
		const isCold = this._services.cold.waitMs(attempt.record, this._admitted.service) > 0;
		this._attempts.withdraw(reason === withdrawnReason && isCold ? attempt.record.key : undefined);
		if (this._attempts.hasTime && (reason === withdrawnReason || !this._escalation.isHolding)) {
			this._attempt();
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Handles an attempt whose buffered answer the host cannot hold any longer. */
	private _onGivenUp(attempt: Attempt): void {
		if (!this._isFinished && (!attempt.isFinished || this._escalation.holds(attempt))) {
			this._fail(attempt, tooMuchHeldReason);
		}
	}

	/** Handles an answer which states that the backend server did not run the request. */
	private _onRefused(attempt: Attempt, head: AnswerHead): void {
		this._records.recordRefused(attempt, head);
		if (attempt.isHandedOver) {
			this.abandon(attempt, 'host-refused');
			this._attempts.withdraw();
			if (head.isHostFault) {
				this._attempt();
			} else {
				// Its servers are full or refuse the request; another host would only ask them again.
				this._endWithoutAnswer('server-refused');
			}
		} else {
			this.abandon(attempt, head.isOtherServer ? 'other-server' : 'not-run');
			this._retryOrEnd('server-refused');
		}
	}

	/** Handles an answer that must not reach the caller: its status would promise that the request has not run, which is not known. */
	private _onUnproven(attempt: Attempt, {status}: AnswerHead): void {
		const reason = `unproven-${status}`;
		this.abandon(attempt, reason);
		if (this._attempts.isRepeatable && !attempt.isHandedOver) {
			this._retryOrEnd(reason);
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Handles an attempt that may have run but has no usable answer. */
	private _fail(attempt: Attempt, reason: string): void {
		this._mayHaveRun = true;
		attempt.recordResult(true, this._services.clock.now());
		attempt.evidence.recordBroken();
		if (this._escalation.holds(attempt)) {
			this._dropHeld(reason);
			return;
		}

		this.abandon(attempt, reason);

		if (this._attempts.isRepeatable) {
			this._retryOrEnd(reason);
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Gives up the smaller answer of an escalation; the larger model may still answer. */
	private _dropHeld(reason: string): void {
		this._escalation.drop(reason);
		this._delivery.awaitHead(true);
	}

	/** Retries at another backend server, or ends the request when no retry is allowed. */
	private _retryOrEnd(reason: string): void {
		if (this._escalation.deliver()) {
			return;
		}

		if (this._crashes.mayRetry && this.takeRepeat(repeatPurpose.retry)) {
			this._attempt();
		} else {
			this._endWithoutAnswer(reason);
		}
	}

	/** Ends the request without a complete answer of a backend server. */
	private _endWithoutAnswer(reason: string): void {
		if (this._escalation.deliver()) {
			return;
		}

		if (this._answer.isStarted) {
			this._answer.break();
			this._finish(reason);
			return;
		}

		const refusal = this._mayHaveRun ? mayHaveRunRefusal(reason) : this._notRunRefusal(reason);
		this._answer.refuse(refusal);
		this._finish(refusal.code);
	}

	private _notRunRefusal(reason: string): Refusal {
		if (reason === quarantinedPartReason || reason === quarantinedRequestReason) {
			return quarantinedRefusal(reason);
		}

		if (reason === evacuatedReason) {
			return evacuatedRefusal(this._services.random());
		}

		const pauseMs = pauseOfAllMs(this._services, this._admitted.service);
		const at = this._services.random();
		return pauseMs > 0 ? pausedRefusal(pauseMs, at) : notRunRefusal(reason, at);
	}

	private _timeOut(): void {
		const attempt = this._current;
		if (attempt && !attempt.isFinished) {
			this._records.recordTimeout(attempt);
		}

		// A late event loop may reach the deadline before it has delivered the held answer.
		this._escalation.dropIncomplete(timeoutReason);
		this._cutOff(timeoutReason);
	}

	/** Ends the request whatever its state. */
	private _cutOff(reason: string): void {
		const attempt = this._current;
		if (attempt && !attempt.isFinished) {
			this._mayHaveRun = true;
			this.abandon(attempt, reason);
		}

		this._endWithoutAnswer(reason);
	}

	private _finish(outcome: string): void {
		if (this._isFinished) {
			return;
		}

		this._wait?.dispose();
		this._coldWait.dispose();
		this._escalation.drop(outcome);
		if (this._current && !this._current.isFinished) {
			this.abandon(this._current, outcome);
		}

		this._isFinished = true;
		this._timer?.dispose();
		this._delivery.dispose();
		reportRequest(this._services, this._admitted, {
			startedAt: this.startedAt, attempts: this._attempts.count, trail: this._trail, outcome, answer: this._answer, serverFraming: this._current?.head?.framing, isBroken: this._crashes.hasBroken,
		});
		this._host.onFinished();
	}
}
