import {type BackendServer} from '../control/backend-server.js';
import {urgency} from '../documents/urgency.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type AttemptPermit, type BilledRequest} from '../ledger/billed-request.js';
import {type AttemptUsage} from '../ledger/ledger-record.js';
import {type Dispatch, type SelectionRequest} from '../routing/backend-selector.js';
import {type AnswerChunk} from './answer-chunk.js';
import {attemptCost} from './attempt-cost.js';
import {ranBy} from './attempt-guard.js';
import {type AttemptLog} from './attempt-log.js';
import {type Deadline} from './deadline.js';
import {type EngineAnswer, type EngineCall, type EngineUsage} from './engine-client.js';
import {EngineError} from './engine-error.js';
import {type EntryServices} from './entry-services.js';
import {exchangeFacts} from './exchange-facts.js';
import {ran, type Ran} from './ran.js';
import {throwIfEnded} from './request-ended.js';
import {type RequestContext} from './request-context.js';
import {type ChunkListener} from './step-run.js';

/** Scheduling priority at the engine by urgency; lower runs first. */
const enginePriority = {[urgency.urgent]: 0, [urgency.normal]: 10, [urgency.batch]: 20} as const;

/** What one exchange with a backend server is for. */
export interface ExchangeOptions {
	readonly ref: VersionRef;
	readonly server: BackendServer;
	readonly billed: BilledRequest;
	readonly selection: SelectionRequest;
	readonly log: AttemptLog;
	readonly deadline: Deadline;
	readonly resumeAfter: EngineCall['resumeAfter'];
	readonly signal: AbortSignal;
	/** Called when the backend server failed the attempt. */
	readonly onFailed: () => void;
}

/** One attempt: an exchange with one backend server, with its entry in the bill. */
export class Exchange {
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

	constructor(private readonly _services: EntryServices, private readonly _ctx: RequestContext, private readonly _options: ExchangeOptions) {
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

	@throws EngineError when the attempt failed, and ledger errors when it may not be made.
	*/
	async start(): Promise<void> {
		const {billed, selection, server, signal} = this._options;
		throwIfEnded(signal);
		this._permit = billed.startAttempt();
		this._dispatch = this._services.selector.dispatch(selection, server);
		try {
			this._answer = await this._services.engines.call(this._call(), this._controller.signal);
			if (this._answer.load) {
				this._services.selector.reportLoad(server.id, server.incarnation, {...this._answer.load, at: this._services.clock.now()});
			}

			this._iterator = this._answer.chunks[Symbol.asyncIterator]();
			this._first = await this._iterator.next();
			this._noteFirst(this._first);
		} catch (error) {
			throw this._fail(error);
		}
	}

	/**
	Passes the chunks to the listener, one after another, and ends the attempt as answered.

	@throws EngineError when the answer does not end with a finish reason.
	*/
	async read(onChunk: ChunkListener): Promise<EngineUsage> {
		let isFinished = false;
		try {
			for (let next = this._first!; !next.done; next = await this._iterator!.next()) { // eslint-disable-line no-await-in-loop -- chunks come in order
				isFinished ||= next.value.finishReason !== undefined;
				this._tokens += next.value.tokens;
				const room = onChunk(next.value);
				if (room) {
					await room; // eslint-disable-line no-await-in-loop -- waits until the caller takes more
				}
			}

			if (!isFinished) {
				throw new EngineError('broken', 'the answer ended without a finish reason', ran.unknown);
			}
		} catch (error) {
			throw this._fail(error);
		}

		return this._end('answered', ran.yes);
	}

	/** Gives the attempt up in favour of another one. */
	cancel(): void {
		this._noteSlow();
		this._end('cancelled', ran.unknown);
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
			startWithinMs: deadline.atMost(lease.expiresAt).remainingMs,
			deadlineMs: deadline.remainingMs,
			...(resumeAfter && {resumeAfter}),
		};
	}

	private _noteFirst(first: IteratorResult<AnswerChunk>): void {
		if (!first.done && first.value.tokens > 0) {
			this._dispatch!.firstToken(this._services.clock.now() - this._sentAt);
		}
	}

	/** A wait beyond the usual time is a lower bound of the time to first token, so that a hanging server gets less work. */
	private _noteSlow(): void {
		const waitedMs = this._services.clock.now() - this._sentAt;
		if (this._first === undefined && waitedMs >= (this._services.firstTokens.p95(this._options.ref) ?? Number.POSITIVE_INFINITY)) {
			this._dispatch?.firstToken(waitedMs);
		}
	}

	private _fail(error: unknown): unknown {
		if (!(error instanceof EngineError)) {
			this._end('failed', ran.unknown);
			this._options.onFailed();
			return error;
		}

		const isRun = ranBy(exchangeFacts(error, this._tokens > 0));
		if (this._options.signal.aborted) {
			this._noteSlow();
			this._end('cancelled', isRun);
		} else {
			this._end('failed', isRun);
			this._options.onFailed();
		}

		return error;
	}

	/** Ends the attempt once; later ends change nothing. */
	private _end(outcome: AttemptUsage['outcome'], isRun: Ran): EngineUsage {
		const {ref, server, log, signal} = this._options;
		const usage = this._answer?.usage ?? {inputTokens: isRun === ran.no ? 0 : this._ctx.inputTokens, outputTokens: this._tokens};
		if (!this._permit) {
			return usage;
		}

		signal.removeEventListener('abort', this._abort);
		if (isRun === ran.no) {
			this._permit.markNotWritten();
		}

		this._permit = undefined;
		this._dispatch!.finish({failed: outcome === 'failed', outputTokens: usage.outputTokens});
		log.add({
			attemptId: this.attemptId, ref, server: server.id, ...usage, cost: attemptCost(server, ref, usage), outcome,
		}, isRun);
		return usage;
	}
}
