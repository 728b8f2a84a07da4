import {type RandomSource} from '../common/base/random-source.js';
import {sleep} from '../common/base/sleep.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {type EngineAnswer, type EngineCall, type EngineClient} from '../common/entry/engine-client.js';
import {EngineError} from '../common/entry/engine-error.js';
import {promptText} from '../common/entry/chat-body.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {type ManualClock} from '../testing/manual-clock.js';
import {type WorldLog} from './world-log.js';

/** Tokens of an answer and the time between two in milliseconds. */
export const answerTokens = 6;
const tokenMs = 15;
const linkMs = 2;
/** Share of requests that an engine refuses, and of connections that break during an answer. */
const refuseShare = 0.02;
const breakShare = 0.02;

/** State of one emulated backend server. */
export interface FarmServer {
	server: BackendServer;
	isUp: boolean;
	/** Processes to which the link is cut. */
	readonly cutFrom: Set<string>;
}

/** Token of an answer: names the request's operation, the version and its position. */
export function answerToken(operation: string, ref: string, position: number): string {
	return `${operation}/${ref}/${position};`;
}

/** Emulated engines and plain services on the clock of a run. */
export class BackendFarm {
	readonly servers = new Map<string, FarmServer>();

	constructor(private readonly _clock: ManualClock, private readonly _random: RandomSource, private readonly _log: WorldLog) {}

	/** Client of one process; `isAlive` tells whether the process still runs. */
	clientOf(host: string, isAlive: () => boolean): EngineClient {
		return {call: async (call, signal) => this._call(call, {host, isAlive, signal})};
	}

	/** Executes a call of a plain service. @throws EngineError with what is known of the run. */
	async callPlain(host: string, server: BackendServer, {operation, requestId}: {operation: string; requestId: string}): Promise<void> {
		const target = this._reach(host, server);
		await sleep(this._clock, linkMs);
		if (!target.isUp) {
			throw new EngineError('unreachable', 'no connection', executionStatus.no);
		}

		this._log.runs.push({
			attemptId: requestId, requestId, operation, ref: undefined, at: this._clock.now(),
		});
		await sleep(this._clock, tokenMs);
		if (this._random.next() < breakShare || !target.isUp || target.cutFrom.has(host)) {
			throw new EngineError('broken', 'the connection broke', executionStatus.unknown);
		}
	}

	private async _call(call: EngineCall, link: {host: string; isAlive: () => boolean; signal: AbortSignal}): Promise<EngineAnswer> {
		const target = this._reach(link.host, call.server);
		await sleep(this._clock, linkMs, link.signal);
		this._check(target, link);
		if (!target.isUp || target.server.incarnation !== call.server.incarnation) {
			throw new EngineError('unreachable', 'no connection', executionStatus.no);
		}

		// An engine that checks the time refuses work that comes too late.
		if (this._random.next() < refuseShare) {
			throw new EngineError('refused', 'the engine is busy', executionStatus.no);
		}

		const operation = operationOf(call);
		this._log.runs.push({
			attemptId: call.attemptId, requestId: call.attemptId.split('.')[0]!, operation, ref: call.ref, at: this._clock.now(),
		});
		const breaksAt = this._random.next() < breakShare ? this._random.integer(answerTokens) : undefined;
		const from = call.resumeAfter?.tokens ?? 0;
		return {
			chunks: this._stream({
				call, operation, target, link, from, breaksAt,
			}),
			usage: {inputTokens: 10, outputTokens: answerTokens - from},
		};
	}

	private async * _stream({call, operation, target, link, from, breaksAt}: {
		call: EngineCall; operation: string; target: FarmServer; link: {host: string; isAlive: () => boolean; signal: AbortSignal}; from: number; breaksAt: number | undefined;
	}): AsyncGenerator<AnswerChunk> {
		for (let position = from; position < answerTokens; position++) {
			// eslint-disable-next-line no-await-in-loop -- tokens follow each other
			await sleep(this._clock, tokenMs, link.signal);
			this._check(target, link);
			if (!target.isUp || position === breaksAt) {
				throw new EngineError('broken', 'the answer broke off', executionStatus.unknown);
			}

			yield {
				delta: {content: answerToken(operation, call.ref, position)}, tokens: 1, confidence: this._random.next(), finishReason: position === answerTokens - 1 ? 'stop' : undefined,
			};
		}
	}

	private _reach(host: string, server: BackendServer): FarmServer {
		const target = this.servers.get(server.id);
		if (!target || target.cutFrom.has(host)) {
			throw new EngineError('unreachable', 'no connection', executionStatus.no);
		}

		return target;
	}

	private _check(target: FarmServer, {host, isAlive, signal}: {host: string; isAlive: () => boolean; signal: AbortSignal}): void {
		if (signal.aborted || !isAlive() || target.cutFrom.has(host)) {
			throw new EngineError('broken', 'the connection was closed', executionStatus.unknown);
		}
	}
}

/** The operation that a call belongs to; the prompt names it. */
function operationOf({body}: EngineCall): string {
	return promptText(body).split(' ').at(-1)!;
}
