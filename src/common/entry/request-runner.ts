import {type AdmissionTicket} from '../admission/admission-controller.js';
import {type VersionRef} from '../documents/version-ref.js';
import {urgency} from '../documents/urgency.js';
import {type BilledRequest} from '../ledger/billed-request.js';
import {requestOutcome, type RequestOutcome} from '../ledger/ledger-record.js';
import {type BeginResult} from '../ledger/request-ledger.js';
import {type Plan} from '../routing/plan.js';
import {AnswerEvaluator} from './answer-evaluator.js';
import {type AnswerSink} from './answer-sink.js';
import {AttemptRunner} from './attempt-runner.js';
import {DeadlineSignal} from './deadline-signal.js';
import {type EntryServices} from './entry-services.js';
import {DelayedEndSink} from './delayed-end-sink.js';
import {idempotencyRefusal} from './idempotency-refusal.js';
import {planRequest} from './plan-request.js';
import {decodeRecordedAnswer, encodeRecordedAnswer} from './recorded-answer.js';
import {RefusalError} from './refusal-error.js';
import {type RequestContext} from './request-context.js';
import {type FailureContext, failureOutcome, toRefusal} from './request-failure.js';
import {type FinishedRequest} from './request-observer.js';
import {SessionVersionChoice} from './session-version-choice.js';
import {type StepAnswer} from './step-answer.js';
import {throwIfCancelled} from './throw-if-cancelled.js';
import {TimingSink} from './timing-sink.js';

/** Runs one request to a model service, from admission to billing. */
export class RequestRunner {
	private readonly _attempts: AttemptRunner;
	private readonly _timing: TimingSink;
	private readonly _sink: DelayedEndSink;
	private readonly _evaluator: AnswerEvaluator;
	private _billed: BilledRequest | undefined;
	private _pinned: VersionRef | undefined;
	private _plan: Plan | undefined;

	constructor(private readonly _services: EntryServices, private readonly _ctx: RequestContext, answer: AnswerSink) {
		_services.retryBudget.recordRequest();
		this._attempts = new AttemptRunner(_services, _ctx);
		this._timing = new TimingSink(answer, _services.clock);
		this._sink = new DelayedEndSink(this._timing);
		this._evaluator = new AnswerEvaluator(_services, _ctx);
	}

	/**
	Runs the request. The signal is aborted when the caller disconnects.

	@throws RefusalError when the caller gets no complete answer.
	*/
	async run(signal: AbortSignal): Promise<void> {
		const deadline = new DeadlineSignal(this._services.clock, this._ctx.deadlineAt, signal);
		let ticket: AdmissionTicket | undefined;
		try {
			// Admission enforces the deadline itself, and its refusal tells the caller when to retry.
			ticket = await this._admit(signal);
			await this._runAdmitted(deadline.signal);
		} catch (error) {
			const failure: FailureContext = {
				ran: this._attempts.log.ran, idempotent: this._ctx.idempotent, isCallerDisconnected: signal.aborted, isDeadlineExceeded: deadline.isExpired,
			};
			const refusal = toRefusal(error, failure);
			this._abandon(failure, refusal);
			throw refusal;
		} finally {
			deadline.dispose();
			ticket?.release(this._attempts.log.tokens);
		}
	}

	private async _admit(signal: AbortSignal): Promise<AdmissionTicket> {
		const {customer, document, urgency, inputTokens, maxTokens, deadlineAt} = this._ctx;
		return this._services.admission.acquire({
			customer: customer.name, service: document.service, urgency, weight: customer.weight, tokens: inputTokens + maxTokens, deadlineAt,
		}, signal);
	}

	private async _runAdmitted(signal: AbortSignal): Promise<void> {
		const {document, requestId, customer, session, key, bodyHash, idempotent} = this._ctx;
		const begun = await this._services.ledger.requests.begin({
			type: 'open', requestId, customer: customer.name, service: document.service, session, key, bodyHash: key === undefined ? undefined : bodyHash, idempotent,
		});
		if (begun.status === 'run') {
			this._billed = begun.request;
			throwIfCancelled(signal);
			await this._finish(await this._cascade(begun.request, signal));
		} else if (begun.status === 'replay') {
			await this._replay(begun);
		} else {
			throw idempotencyRefusal(begun);
		}
	}

	/** Runs the steps of the plan in order until an answer is accepted. */
	private async _cascade(billed: BilledRequest, signal: AbortSignal): Promise<StepAnswer> {
		const required = await this._sessionVersion();
		const plan = planRequest(this._services, this._ctx, this._attempts.serverSelector, {required});
		this._pinned = required;
		this._plan = plan;
		for (const [index, step] of plan.steps.entries()) {
			if (step.minConfidence === undefined) {
				return this._runStreamed(billed, step.ref, {index, ratingProbability: step.ratingProbability, signal});
			}

			// eslint-disable-next-line no-await-in-loop -- a more expensive version is used only after the answer of the cheaper one was rejected
			const answer = await this._attempts.run({
				ref: step.ref, index, billed, signal,
			});
			// eslint-disable-next-line no-await-in-loop -- see above
			if (await this._evaluator.accepts(answer, step, index, signal)) {
				return this._deliverBuffered(answer);
			}

			this._attempts.log.markEscalated(answer.attemptId);
		}

		throw new RefusalError('no-version-available', `No version of ${this._ctx.document.service} is available now.`, {status: 503, ran: this._attempts.log.ran, retryAfterSeconds: 1});
	}

	/** Version to which the session is pinned; undefined for a request without a sticky session. */
	private async _sessionVersion(): Promise<VersionRef | undefined> {
		const {session, customer, document} = this._ctx;
		if (session === undefined || !document.sessions.sticky) {
			return undefined;
		}

		const {ledger, view} = this._services;
		const choice = new SessionVersionChoice(view, this._ctx, () => planRequest(this._services, this._ctx, this._attempts.serverSelector, {isSingleStep: true}).steps.at(-1)?.ref);
		return ledger.pins.resolve({customer: customer.name, service: document.service, session}, choice);
	}

	/** Runs a step whose answer is always accepted, and streams it if the caller requested that. */
	private async _runStreamed(billed: BilledRequest, ref: VersionRef, {index, ratingProbability, signal}: {index: number; ratingProbability: number; signal: AbortSignal}): Promise<StepAnswer> {
		const head = {requestId: this._ctx.requestId, ref};
		// An answer that is not streamed is buffered, so that a broken attempt can be restarted.
		const isStreamed = this._ctx.body.stream === true;
		const answer = await this._attempts.run({
			ref, index, billed, signal, onChunk: isStreamed ? async chunk => this._sink.write(head, chunk) : undefined,
		});
		this._evaluator.observeDelivered(answer, index, ratingProbability);
		return isStreamed ? answer : this._deliverBuffered(answer);
	}

	private async _deliverBuffered(answer: StepAnswer): Promise<StepAnswer> {
		for (const chunk of answer.chunks) {
			// eslint-disable-next-line no-await-in-loop -- chunks are sent in order
			await this._sink.write({requestId: this._ctx.requestId, ref: answer.ref}, chunk);
		}

		return answer;
	}

	/** Bills the answer, then releases its end to the caller. */
	private async _finish(answer: StepAnswer): Promise<void> {
		const {cost, attempts} = this._attempts.log;
		const billed = this._billed!;
		this._billed = undefined;
		await billed.finish({
			outcome: requestOutcome.answered, ref: answer.ref, cost, attempts, answer: this._ctx.key === undefined ? undefined : encodeRecordedAnswer(answer),
		}, {mayLinger: this._ctx.urgency !== urgency.urgent});
		await this._sink.end({requestId: this._ctx.requestId, ref: answer.ref}, {cost, finishReason: answer.finishReason, ...answer.usage});
		this._services.counters.increment('entry.request.answered', 1, {service: this._ctx.document.service, version: answer.ref});
		this._observe(requestOutcome.answered, {ref: answer.ref, betweenTokensMs: answer.betweenTokensMs});
	}

	private _abandon(failure: FailureContext, refusal: RefusalError): void {
		const {cost, attempts} = this._attempts.log;
		const outcome = failureOutcome(failure);
		this._billed?.abandon({outcome, cost, attempts});
		this._services.counters.increment('entry.request.failed', 1, {service: this._ctx.document.service});
		this._observe(outcome, {refusal});
	}

	private _observe(outcome: RequestOutcome, result: Pick<FinishedRequest, 'ref' | 'betweenTokensMs' | 'refusal'>): void {
		const {requestId, document, customer, urgency, requestClass, session} = this._ctx;
		const {cost, attempts} = this._attempts.log;
		this._services.observer.finished({
			requestId, service: document.service, customer: customer.name, urgency, requestClass, session, outcome, plan: this._plan, pinned: this._pinned, firstTokenMs: this._timing.firstTokenMs, cost, attempts, ...result,
		});
	}

	private async _replay({bill, answer}: Extract<BeginResult, {status: 'replay'}>): Promise<void> {
		const recorded = decodeRecordedAnswer(answer);
		const head = {requestId: bill.requestId, ref: recorded.ref};
		await this._sink.write(head, {delta: recorded.delta, finishReason: recorded.finishReason, tokens: recorded.outputTokens});
		await this._sink.end(head, {cost: bill.cost, ...recorded});
	}
}
