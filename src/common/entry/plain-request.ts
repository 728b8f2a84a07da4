import {type AdmissionTicket} from '../admission/admission-controller.js';
import {type BackendServer} from '../control/backend-server.js';
import {type DocumentCustomer, type ServiceDocument} from '../documents/service-document.js';
import {type Urgency} from '../documents/urgency.js';
import {type BilledRequest} from '../ledger/billed-request.js';
import {type AttemptUsage, requestOutcome, type RequestOutcome} from '../ledger/ledger-record.js';
import {type SelectionRequest} from '../routing/backend-selector.js';
import {beginRefusal} from './begin-refusal.js';
import {type DeadlineSignal} from './deadline-signal.js';
import {type EntryServices} from './entry-services.js';
import {throwIfEnded} from './request-ended.js';
import {ran, type Ran} from './ran.js';
import {RefusalError} from './refusal-error.js';
import {type FailureContext, failureOutcome, toRefusal} from './request-failure.js';

/** A checked request to a plain service. */
export interface PlainContext {
	readonly requestId: string;
	readonly customer: DocumentCustomer;
	readonly document: ServiceDocument;
	readonly urgency: Urgency;
	readonly key?: string;
	readonly bodyHash: string;
	readonly idempotent: boolean;
	/** On the monotonic clock in milliseconds. */
	readonly deadlineAt: number;
}

/** Exchange with the backend server and the caller, as the HTTP side provides it. */
export interface PlainExchange<Answer> {
	/** Sends the request. @throws RefusalError whose `ran` says whether it may have run. */
	send(server: BackendServer): Promise<Answer>;
	/** Passes the answer on, all but its end. */
	pass(answer: Answer): Promise<void>;
	/** Completes the answer at the caller. */
	end(): void;
}

/** Attempts at most, the first included; more than one only while the request certainly did not run. */
const maxAttempts = 3;

/** Runs one request to a plain service from admission to its bill. */
export class PlainRequest {
	private readonly _failed = new Set<string>();
	private readonly _attempts: AttemptUsage[] = [];
	private _ran: Ran = ran.no;
	private _billed: BilledRequest | undefined;
	private readonly _startedAt: number;
	private _firstByteMs: number | undefined;

	constructor(private readonly _services: EntryServices, private readonly _ctx: PlainContext) {
		_services.retries.noteRequest();
		this._startedAt = _services.clock.now();
	}

	/** @throws RefusalError when the caller gets no complete answer. */
	async run<Answer>(exchange: PlainExchange<Answer>, deadline: DeadlineSignal, caller: AbortSignal): Promise<void> {
		let ticket: AdmissionTicket | undefined;
		try {
			const {customer, document, urgency, deadlineAt} = this._ctx;
			ticket = await this._services.admission.acquire({
				customer: customer.name, service: document.service, urgency, weight: customer.weight, tokens: 1, deadlineAt,
			}, caller);
			const billed = await this._begin();
			await exchange.pass(await this._attempt(exchange, billed, deadline.signal));
			this._billed = undefined;
			await billed.finish({outcome: requestOutcome.answered, cost: 0, attempts: this._attempts});
			exchange.end();
			this._observe(requestOutcome.answered);
		} catch (error) {
			const failure: FailureContext = {
				ran: this._ran, idempotent: this._ctx.idempotent, isCallerGone: caller.aborted, isDeadlinePassed: deadline.isPassed,
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

		throw beginRefusal(begun.status === 'replay' ? {status: 'settled', bill: begun.bill, ran: ran.yes} : begun);
	}

	private async _attempt<Answer>(exchange: PlainExchange<Answer>, billed: BilledRequest, signal: AbortSignal): Promise<Answer> {
		for (let attempt = 1; ; attempt++) {
			const server = this._select();
			throwIfEnded(signal);
			const permit = billed.startAttempt();
			const dispatch = this._services.selector.dispatch(this._selection, server);
			const startedAt = this._services.clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop -- an attempt follows only after the one before has failed
				const answer = await exchange.send(server);
				dispatch.firstToken(this._services.clock.now() - startedAt);
				dispatch.finish({failed: false, outputTokens: 1});
				this._ran = ran.yes;
				this._firstByteMs = this._services.clock.now() - this._startedAt;
				this._note(server, 'answered');
				return answer;
			} catch (error) {
				dispatch.finish({failed: !signal.aborted, outputTokens: 0});
				this._failed.add(server.id);
				this._note(server, signal.aborted ? 'cancelled' : 'failed');
				const isNotRun = error instanceof RefusalError && error.ran === ran.no;
				this._ran = isNotRun ? this._ran : ran.unknown;
				if (isNotRun) {
					permit.markNotWritten();
				}

				if (attempt >= maxAttempts || !isNotRun || signal.aborted || !this._services.retries.take()) {
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

	/** Checks the lease and the applied state as late as possible before the work is sent. */
	private _select(): BackendServer {
		const {lease, view, selector} = this._services;
		const {service} = this._ctx.document;
		if (!lease.isValid()) {
			throw new RefusalError('lease-expired', 'This entry host has lost contact with the control leader; use another entry host.', {status: 503, ran: this._ran, retryAfterSeconds: 1});
		}

		const isAllowed = view.documents.get(service)?.document.customers.some(({name, keySha256}) => name === this._ctx.customer.name && keySha256 === this._ctx.customer.keySha256);
		const servers = [...view.backendServers.values()].filter(server => server.services.includes(service) && !this._failed.has(server.id));
		const server = isAllowed ? selector.select(this._selection, servers) : undefined;
		if (!server) {
			throw new RefusalError('no-backend-server', `No backend server can take a request for ${service} now.`, {status: 503, ran: this._ran, retryAfterSeconds: 1});
		}

		return server;
	}

	private _note(server: BackendServer, outcome: AttemptUsage['outcome']): void {
		this._attempts.push({
			attemptId: `${this._ctx.requestId}.${this._attempts.length}`, server: server.id, inputTokens: 0, outputTokens: 0, cost: 0, outcome,
		});
	}
}
