import {AppError} from '../base/app-error.js';
import {type BackendServer} from '../control/backend-server.js';
import {AnswerCollector} from './answer-collector.js';
import {decideAfterFailure, type AttemptAction} from './retry-decision.js';
import {AttemptLog} from './attempt-log.js';
import {Deadline} from './deadline.js';
import {EngineError} from './engine-error.js';
import {type EntryServices} from './entry-services.js';
import {EngineAttempt} from './engine-attempt.js';
import {failureDetails} from './failure-details.js';
import {reportFailure} from './failure-report.js';
import {shouldHedge} from './hedge-rule.js';
import {startHedged} from './hedged-start.js';
import {executionStatus} from './execution-status.js';
import {type RequestContext} from './request-context.js';
import {ServerSelector} from './server-selector.js';
import {type StepAnswer, stepAnswer} from './step-answer.js';
import {type StepRun} from './step-run.js';

/** Maximum number of attempts of one step, including the first and excluding hedges. */
const maxAttempts = 3;

/** Runs the steps of a request. A step makes attempts at backend servers of one version until one gives a complete answer. */
export class AttemptRunner {
	readonly log: AttemptLog;
	readonly serverSelector: ServerSelector;
	private readonly _deadline: Deadline;

	constructor(private readonly _services: EntryServices, private readonly _ctx: RequestContext) {
		this.log = new AttemptLog(_ctx.requestId);
		this.serverSelector = new ServerSelector(_services, _ctx);
		this._deadline = new Deadline(_services.clock, _ctx.deadlineAt);
	}

	/**
	Runs a step until its answer is complete. Chunks are passed to the listener as they arrive. After an interruption the
	answer is resumed where it stopped, or restarted if the caller has received none of it; otherwise the step fails.

	@throws EngineError when no attempt gave a complete answer and no further attempt is allowed.
	@throws RefusalError when no backend server may take the request.
	*/
	async run(step: StepRun): Promise<StepAnswer> {
		let collector = new AnswerCollector(this._services.clock);
		let isResume = false;
		for (let attempt = 1; ; attempt++) {
			const server = this.serverSelector.select(step.ref, isResume, this.log.ran);
			const primary = this._createAttempt(step, server, collector);
			let current = primary;
			try {
				// eslint-disable-next-line no-await-in-loop -- the next attempt starts only after the previous one failed
				current = await this._start(step, primary, collector);
				// eslint-disable-next-line no-await-in-loop -- see above
				return await this._read(step, current, collector);
			} catch (error) {
				const failure = toEngineError(error);
				if (step.signal.aborted) {
					throw failure;
				}

				reportFailure(this._services, this._ctx, step, {attemptId: current.attemptId, collector});
				const action = attempt < maxAttempts ? this._decide(failure, step, collector) : 'error';
				if (action !== 'retry' && action !== 'resume') {
					throw failure;
				}

				this._services.retryBudget.take();
				this._services.counters.increment(`entry.attempt.${action}`, 1, {code: failure.code});
				isResume = action === 'resume';
				collector = isResume ? collector : new AnswerCollector(this._services.clock);
			}
		}
	}

	private _createAttempt(step: StepRun, server: BackendServer, collector: AnswerCollector): EngineAttempt {
		const {text, tokens} = collector;
		return new EngineAttempt(this._services, this._ctx, {
			ref: step.ref,
			server,
			billed: step.billed,
			selection: this.serverSelector.selection,
			log: this.log,
			deadline: this._deadline,
			resumeAfter: tokens > 0 ? {text, tokens} : undefined,
			signal: step.signal,
			onFailed: () => {
				this.serverSelector.exclude(server);
			},
		});
	}

	private async _read(step: StepRun, attempt: EngineAttempt, collector: AnswerCollector): Promise<StepAnswer> {
		const usage = await attempt.read(async chunk => {
			collector.add(chunk);
			return step.onChunk?.(chunk);
		});
		this._services.firstTokenTimes.record(step.ref, collector.firstTokenMs);
		return stepAnswer(attempt.attemptId, step.ref, collector, usage);
	}

	/** Starts an attempt, and hedges it when its first token is late. */
	private async _start(step: StepRun, primary: EngineAttempt, collector: AnswerCollector): Promise<EngineAttempt> {
		const delayMs = this._services.firstTokenTimes.p95(step.ref);
		if (!this._ctx.idempotent || collector.tokens > 0 || delayMs === undefined) {
			await primary.start();
			return primary;
		}

		return startHedged({
			primary, delayMs, clock: this._services.clock, createHedge: () => this._hedge(step, primary.server, delayMs),
		});
	}

	private _hedge(step: StepRun, running: BackendServer, waitedMs: number): EngineAttempt | undefined {
		const {counters, firstTokenTimes, retryBudget} = this._services;
		const isNeeded = !step.signal.aborted && shouldHedge({
			idempotent: this._ctx.idempotent,
			firstToken: false,
			running: 1,
			waitedMs,
			// The delay was set from an earlier value of the percentile, which may have risen since.
			firstTokenP95Ms: Math.min(waitedMs, firstTokenTimes.p95(step.ref) ?? waitedMs),
			remainingMs: this._deadline.remainingMs,
			hasBudget: retryBudget.available > 0,
		});
		const server = isNeeded ? this.serverSelector.selectForHedge(step.ref, running) : undefined;
		if (!server || !retryBudget.take()) {
			return undefined;
		}

		counters.increment('entry.attempt.hedge');
		return this._createAttempt(step, server, new AnswerCollector(this._services.clock));
	}

	private _decide(failure: EngineError, step: StepRun, collector: AnswerCollector): AttemptAction {
		const isStarted = collector.tokens > 0;
		const resumable = isStarted && this.serverSelector.hasServer(step.ref, true);
		const details = failureDetails(failure, isStarted);
		return decideAfterFailure({
			...details, idempotent: this._ctx.idempotent, delivered: isStarted && step.onChunk !== undefined, resumable,
		}, {
			hasTime: !this._deadline.isExpired,
			hasBudget: this._services.retryBudget.available > 0,
			hasServer: resumable || this.serverSelector.hasServer(step.ref, false),
		}).action;
	}
}

function toEngineError(error: unknown): EngineError {
	if (error instanceof EngineError) {
		return error;
	}

	// Refusals and ledger errors are raised before the request is dispatched, so they are not engine failures.
	if (error instanceof AppError) {
		throw error;
	}

	return new EngineError('broken', 'the attempt failed unexpectedly', executionStatus.unknown, {cause: error});
}
