import {type BackendServer} from '../control/backend-server.js';
import {urgency} from '../documents/urgency.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type AttemptPermit, type BilledRequest} from '../ledger/billed-request.js';
import {type AttemptUsage} from '../ledger/ledger-record.js';
import {type Dispatch, type SelectionRequest} from '../routing/backend-selector.js';
import {type AnswerChunk} from './answer-chunk.js';
import {attemptCost} from './attempt-cost.js';
import {executionStatusOf} from './retry-decision.js';
import {type AttemptLog} from './attempt-log.js';
import {type Deadline} from './deadline.js';
import {type EngineAnswer, type EngineCall, type EngineUsage} from './engine-client.js';
import {EngineError} from './engine-error.js';
import {type EntryServices} from './entry-services.js';
import {failureDetails} from './failure-details.js';
import {executionStatus, type ExecutionStatus} from './execution-status.js';
import {isInOpenZone} from './open-servers.js';
import {type RequestContext} from './request-context.js';
import {type ChunkListener} from './step-run.js';
import {throwIfCancelled} from './throw-if-cancelled.js';

/** Scheduling priority at the engine by urgency; lower values run first. */
const enginePriority = {[urgency.urgent]: 0, [urgency.normal]: 10, [urgency.batch]: 20} as const;

/** Options of `EngineAttempt`. */
export interface EngineAttemptOptions {
	readonly ref: VersionRef;
	readonly server: BackendServer;
	readonly billed: BilledRequest;
	readonly selection: SelectionRequest;
	readonly log: AttemptLog;
	readonly deadline: Deadline;
	readonly resumeAfter: EngineCall['resumeAfter'];
	readonly signal: AbortSignal;
	/** Called when the attempt failed at the backend server. */
	readonly onFailed: () => void;
}

/** One attempt at one backend server. It adds an entry to the bill when it ends. */
export class EngineAttempt {
	readonly attemptId: string;
	private readonly _controller = new AbortController();
	private readonly _abort: () => void;
	private readonly _sentAt: number;
	private _permit: AttemptPermit | undefined;
	private _dispatch: Dispatch | undefined;
	private _answer: EngineAnswer | undefined;
	private _iterator: AsyncIterator<AnswerChunk> | undefined;
	private _first: IteratorResult<AnswerChunk> | undefined;
	private _tokens = 0;

	constructor(private readonly _services: EntryServices, private readonly _ctx: RequestContext, private readonly _options: EngineAttemptOptions) {
		this.attemptId = _options.log.nextId();
		this._sentAt = _services.clock.now();
		this._abort = () => {
			this._controller.abort();
		};

		_options.signal.addEventListener('abort', this._abort, {once: true});
	}

	get server(): BackendServer {
		return this._options.server;
	}

	/**
	Sends the request and waits for the first chunk of the answer.

	@throws EngineError when the attempt failed.
	@throws ledger errors when the attempt is not allowed.
	*/
	async start(): Promise<void> {
		const {billed, selection, server, signal} = this._options;
		throwIfCancelled(signal);
		this._permit = billed.startAttempt();
		this._dispatch = this._services.selector.dispatch(selection, server);
		try {
			this._answer = await this._services.engines.call(this._call(), this._controller.signal);
			if (this._answer.load) {
				this._services.selector.reportLoad(server.id, server.incarnation, {...this._answer.load, at: this._services.clock.now()});
			}

			this._iterator = this._answer.chunks[Symbol.asyncIterator]();
			this._first = await this._iterator.next();
			this._recordFirstToken(this._first);
		} catch (error) {
			throw this._fail(error);
		}
	}

	/**
	Passes the chunks to the listener in order, and ends the attempt as answered.

	@throws EngineError when the answer does not end with a finish reason.
	*/
	async read(onChunk: ChunkListener): Promise<EngineUsage> {
		let isFinished = false;
		try {
			for (let next = this._first!; !next.done; next = await this._iterator!.next()) { // eslint-disable-line no-await-in-loop -- chunks arrive in order
				isFinished ||= next.value.finishReason !== undefined;
				this._tokens += next.value.tokens;
				const ready = onChunk(next.value);
				if (ready) {
					await ready; // eslint-disable-line no-await-in-loop -- backpressure from the caller
				}
			}

			if (!isFinished) {
				throw new EngineError('broken', 'the answer ended without a finish reason', executionStatus.unknown);
			}
		} catch (error) {
			throw this._fail(error);
		}

		return this._end('answered', executionStatus.yes);
	}

	/** Cancels the attempt because another one answered first. */
	cancel(): void {
		this._recordSlowStart();
		this._end('cancelled', executionStatus.unknown);
		this._abort();
	}

	private _call(): EngineCall {
		const {ref, server, deadline, resumeAfter} = this._options;
		const {lease, view} = this._services;
		return {
			attemptId: this.attemptId,
			server,
			ref,
			body: this._ctx.body,
			maxTokens: this._ctx.maxTokens,
			priority: enginePriority[this._ctx.urgency],
			revision: view.revision,
			startWithinMs: deadline.cappedAt(lease.expiresAt).remainingMs,
			deadlineMs: deadline.remainingMs,
			mayStart: () => isInOpenZone(view, server),
			...(resumeAfter && {resumeAfter}),
		};
	}

	private _recordFirstToken(first: IteratorResult<AnswerChunk>): void {
		if (!first.done && first.value.tokens > 0) {
			this._dispatch!.firstToken(this._services.clock.now() - this._sentAt);
		}
	}

	/**
	Reports the wait so far as the time to first token when it is above the 95th percentile, so that a backend server that
	does not respond gets less work. The true time would be at least as long.
	*/
	private _recordSlowStart(): void {
		const waitedMs = this._services.clock.now() - this._sentAt;
		if (this._first === undefined && waitedMs >= (this._services.firstTokenTimes.p95(this._options.ref) ?? Number.POSITIVE_INFINITY)) {
			this._dispatch?.firstToken(waitedMs);
		}
	}

	private _fail(error: unknown): unknown {
		if (!(error instanceof EngineError)) {
			this._end('failed', executionStatus.unknown);
			this._options.onFailed();
			return error;
		}

		const status = executionStatusOf(failureDetails(error, this._tokens > 0));
		if (this._options.signal.aborted) {
			this._recordSlowStart();
			this._end('cancelled', status);
		} else {
			this._end('failed', status);
			this._options.onFailed();
		}

		return error;
	}

	/** Ends the attempt. Further calls have no effect. */
	private _end(outcome: AttemptUsage['outcome'], status: ExecutionStatus): EngineUsage {
		const {ref, server, log, signal} = this._options;
		const usage = this._answer?.usage ?? {inputTokens: status === executionStatus.no ? 0 : this._ctx.inputTokens, outputTokens: this._tokens};
		if (!this._permit) {
			return usage;
		}

		signal.removeEventListener('abort', this._abort);
		if (status === executionStatus.no) {
			this._permit.markNotWritten();
		}

		this._permit = undefined;
		this._dispatch!.finish({failed: outcome === 'failed', outputTokens: usage.outputTokens});
		log.add({
			attemptId: this.attemptId, ref, server: server.id, ...usage, cost: attemptCost(server, ref, usage), outcome,
		}, status);
		return usage;
	}
}
