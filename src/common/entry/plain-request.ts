import {type AdmissionTicket} from '../admission/admission-controller.js';
import {type BackendServer} from '../control/backend-server.js';
import {type DocumentCustomer, type ServiceDocument} from '../documents/service-document.js';
import {type Urgency} from '../documents/urgency.js';
import {type BilledRequest} from '../ledger/billed-request.js';
import {type AttemptUsage, requestOutcome, type RequestOutcome} from '../ledger/ledger-record.js';
import {type SelectionRequest} from '../routing/backend-selector.js';
import {type DeadlineSignal} from './deadline-signal.js';
import {type EntryServices} from './entry-services.js';
import {executionStatus, type ExecutionStatus} from './execution-status.js';
import {idempotencyRefusal} from './idempotency-refusal.js';
import {isInOpenZone} from './open-servers.js';
import {RefusalError} from './refusal-error.js';
import {type FailureContext, failureOutcome, toRefusal} from './request-failure.js';
import {throwIfCancelled} from './throw-if-cancelled.js';

/** A validated request to a plain service. */
export interface PlainContext {
	readonly requestId: string;
	readonly customer: DocumentCustomer;
	readonly document: ServiceDocument;
	readonly urgency: Urgency;
	/** Idempotency key. */
	readonly key?: string;
	readonly bodyHash: string;
	readonly idempotent: boolean;
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
}

/** Exchange with the backend server and the caller, implemented by the HTTP layer. */
export interface PlainExchange<Answer> {
	/** Sends the request. @throws RefusalError; its `ran` tells whether the request may have run. */
	send(server: BackendServer): Promise<Answer>;
	/** Forwards the answer to the caller, except its end. */
	forward(answer: Answer): Promise<void>;
	/** Ends the answer to the caller. */
	end(): void;
}

/** Maximum number of attempts, including the first. A retry requires that the request certainly did not run. */
const maxAttempts = 3;

/** Runs one request to a plain service, from admission to billing. */
export class PlainRequest {
	private readonly _failed = new Set<string>();
	private readonly _attempts: AttemptUsage[] = [];
	private _ran: ExecutionStatus = executionStatus.no;
	private _billed: BilledRequest | undefined;
	private readonly _startedAt: number;
	private _firstByteMs: number | undefined;

	constructor(private readonly _services: EntryServices, private readonly _ctx: PlainContext) {
		_services.retryBudget.recordRequest();
		this._startedAt = _services.clock.now();
	}

	/** @throws RefusalError when the caller gets no complete answer. */
	async run<Answer>(exchange: PlainExchange<Answer>, deadline: DeadlineSignal, callerSignal: AbortSignal): Promise<void> {
		let ticket: AdmissionTicket | undefined;
		try {
			const {customer, document, urgency, deadlineAt} = this._ctx;
			ticket = await this._services.admission.acquire({
				customer: customer.name, service: document.service, urgency, weight: customer.weight, tokens: 1, deadlineAt,
			}, callerSignal);
			const billed = await this._begin();
			await exchange.forward(await this._attempt(exchange, billed, deadline.signal));
			this._billed = undefined;
			await billed.finish({outcome: requestOutcome.answered, cost: 0, attempts: this._attempts});
			exchange.end();
			this._observe(requestOutcome.answered);
		} catch (error) {
			const failure: FailureContext = {
				ran: this._ran, idempotent: this._ctx.idempotent, isCallerDisconnected: callerSignal.aborted, isDeadlineExceeded: deadline.isExpired,
			};
			const outcome = failureOutcome(failure);
			this._billed?.abandon({outcome, cost: 0, attempts: this._attempts});
			const refusal = toRefusal(error, failure);
			this._observe(outcome, refusal);
			throw refusal;
		} finally {
			ticket?.release(1);
		}
	}

	private async _begin(): Promise<BilledRequest> {
		const {requestId, customer, document, key, bodyHash, idempotent} = this._ctx;
		const begun = await this._services.ledger.requests.begin({
			type: 'open', requestId, customer: customer.name, service: document.service, key, bodyHash: key === undefined ? undefined : bodyHash, idempotent,
		});
		if (begun.status === 'run') {
			this._billed = begun.request;
			return begun.request;
		}

		throw idempotencyRefusal(begun.status === 'replay' ? {status: 'settled', bill: begun.bill, ran: executionStatus.yes} : begun);
	}

	private async _attempt<Answer>(exchange: PlainExchange<Answer>, billed: BilledRequest, signal: AbortSignal): Promise<Answer> {
		for (let attempt = 1; ; attempt++) {
			const server = this._select();
			throwIfCancelled(signal);
			const permit = billed.startAttempt();
			const dispatch = this._services.selector.dispatch(this._selection, server);
			const startedAt = this._services.clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop -- the next attempt starts only after the previous one failed
				const answer = await exchange.send(server);
				dispatch.firstToken(this._services.clock.now() - startedAt);
				dispatch.finish({failed: false, outputTokens: 1});
				this._ran = executionStatus.yes;
				this._firstByteMs = this._services.clock.now() - this._startedAt;
				this._recordAttempt(server, 'answered');
				return answer;
			} catch (error) {
				dispatch.finish({failed: !signal.aborted, outputTokens: 0});
				this._failed.add(server.id);
				this._recordAttempt(server, signal.aborted ? 'cancelled' : 'failed');
				const didNotRun = error instanceof RefusalError && error.ran === executionStatus.no;
				this._ran = didNotRun ? this._ran : executionStatus.unknown;
				if (didNotRun) {
					permit.markNotWritten();
				}

				if (attempt >= maxAttempts || !didNotRun || signal.aborted || !this._services.retryBudget.take()) {
					throw error;
				}
			}
		}
	}

	private _observe(outcome: RequestOutcome, refusal?: RefusalError): void {
		const {requestId, document, customer, urgency} = this._ctx;
		this._services.observer.finished({
			requestId, service: document.service, customer: customer.name, urgency, outcome, refusal, firstTokenMs: this._firstByteMs, cost: 0, attempts: this._attempts,
		});
	}

	private get _selection(): SelectionRequest {
		return {
			urgency: this._ctx.urgency, inputTokens: 1, maxTokens: 1, prefixHashes: [], exclude: this._failed,
		};
	}

	/** Checks the lease and the applied control state, as late as possible before the request is sent. */
	private _select(): BackendServer {
		const {lease, view, selector} = this._services;
		const {service} = this._ctx.document;
		if (!lease.isValid()) {
			throw new RefusalError('lease-expired', 'This entry host has lost contact with the control leader; use another entry host.', {status: 503, ran: this._ran, retryAfterSeconds: 1});
		}

		const isAllowed = view.documents.get(service)?.document.customers.some(({name, keySha256}) => name === this._ctx.customer.name && keySha256 === this._ctx.customer.keySha256);
		const servers = [...view.backendServers.values()].filter(server => server.services.includes(service) && isInOpenZone(view, server) && !this._failed.has(server.id));
		const server = isAllowed ? selector.select(this._selection, servers) : undefined;
		if (!server) {
			throw new RefusalError('no-backend-server', `No backend server can take a request for ${service} now.`, {status: 503, ran: this._ran, retryAfterSeconds: 1});
		}

		return server;
	}

	private _recordAttempt(server: BackendServer, outcome: AttemptUsage['outcome']): void {
		this._attempts.push({
			attemptId: `${this._ctx.requestId}.${this._attempts.length}`, server: server.id, inputTokens: 0, outputTokens: 0, cost: 0, outcome,
		});
	}
}
