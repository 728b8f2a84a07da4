import {type RandomSource} from '../common/base/random-source.js';
import {sleep} from '../common/base/sleep.js';
import {type BackendServer} from '../common/control/backend-server.js';
import {type AnswerChunk} from '../common/entry/answer-chunk.js';
import {type EngineAnswer, type EngineCall, type EngineClient} from '../common/entry/engine-client.js';
import {EngineError} from '../common/entry/engine-error.js';
import {promptText} from '../common/entry/chat-body.js';
import {executionStatus} from '../common/entry/execution-status.js';
import {type ManualClock} from '../testing/manual-clock.js';
import {type RunHistory} from './run-history.js';

/** Tokens of an answer, the time between two tokens and the latency of a connection, both in milliseconds. */
export const answerTokenCount = 6;
const tokenMs = 15;
const latencyMs = 2;
/** Share of requests that an engine refuses, and share of connections that break during an answer. */
const refusedShare = 0.02;
const brokenShare = 0.02;

/** One emulated backend server. */
export interface EmulatedBackend {
	server: BackendServer;
	isUp: boolean;
	/** Names of hosts to which the link is cut. */
	readonly cutFrom: Set<string>;
}

/** Token of an answer; it names the operation, the version and the position of the token. */
export function answerToken(operation: string, ref: string, position: number): string {
	return `${operation}/${ref}/${position};`;
}

/** Emulated engines and plain services on the clock of a simulation. */
export class EmulatedBackends {
	readonly servers = new Map<string, EmulatedBackend>();

	constructor(private readonly _clock: ManualClock, private readonly _random: RandomSource, private readonly _history: RunHistory) {}

	/** Engine client of one process; `isAlive` tells whether the process still runs. */
	clientOf(host: string, isAlive: () => boolean): EngineClient {
		return {call: async (call, signal) => this._call(call, {host, isAlive, signal})};
	}

	/** Calls a plain service. @throws EngineError, which says whether the request ran. */
	async callPlain(host: string, server: BackendServer, {operation, requestId}: {operation: string; requestId: string}): Promise<void> {
		const target = this._connect(host, server);
		await sleep(this._clock, latencyMs);
		if (!target.isUp) {
			throw new EngineError('unreachable', 'no connection', executionStatus.no);
		}

		this._history.runs.push({
			attemptId: requestId, requestId, operation, ref: undefined, at: this._clock.now(),
		});
		await sleep(this._clock, tokenMs);
		if (this._random.next() < brokenShare || !target.isUp || target.cutFrom.has(host)) {
			throw new EngineError('broken', 'the connection broke', executionStatus.unknown);
		}
	}

	private async _call(call: EngineCall, connection: {host: string; isAlive: () => boolean; signal: AbortSignal}): Promise<EngineAnswer> {
		const target = this._connect(connection.host, call.server);
		await sleep(this._clock, latencyMs, connection.signal);
		this._checkConnection(target, connection);
		if (!target.isUp || target.server.incarnation !== call.server.incarnation) {
			throw new EngineError('unreachable', 'no connection', executionStatus.no);
		}

		// A share of the requests is refused, as a busy engine does.
		if (this._random.next() < refusedShare) {
			throw new EngineError('refused', 'the engine is busy', executionStatus.no);
		}

		const operation = operationOf(call);
		this._history.runs.push({
			attemptId: call.attemptId, requestId: call.attemptId.split('.')[0]!, operation, ref: call.ref, at: this._clock.now(),
		});
		const breaksAt = this._random.next() < brokenShare ? this._random.integer(answerTokenCount) : undefined;
		const from = call.resumeAfter?.tokens ?? 0;
		return {
			chunks: this._stream({
				call, operation, target, connection, from, breaksAt,
			}),
			usage: {inputTokens: 10, outputTokens: answerTokenCount - from},
		};
	}

	private async * _stream({call, operation, target, connection, from, breaksAt}: {
		call: EngineCall; operation: string; target: EmulatedBackend; connection: {host: string; isAlive: () => boolean; signal: AbortSignal}; from: number; breaksAt: number | undefined;
	}): AsyncGenerator<AnswerChunk> {
		for (let position = from; position < answerTokenCount; position++) {
			// eslint-disable-next-line no-await-in-loop -- tokens are sent one after another
			await sleep(this._clock, tokenMs, connection.signal);
			this._checkConnection(target, connection);
			if (!target.isUp || position === breaksAt) {
				throw new EngineError('broken', 'the answer broke off', executionStatus.unknown);
			}

			yield {
				delta: {content: answerToken(operation, call.ref, position)}, tokens: 1, confidence: this._random.next(), finishReason: position === answerTokenCount - 1 ? 'stop' : undefined,
			};
		}
	}

	private _connect(host: string, server: BackendServer): EmulatedBackend {
		const target = this.servers.get(server.id);
		if (!target || target.cutFrom.has(host)) {
			throw new EngineError('unreachable', 'no connection', executionStatus.no);
		}

		return target;
	}

	private _checkConnection(target: EmulatedBackend, {host, isAlive, signal}: {host: string; isAlive: () => boolean; signal: AbortSignal}): void {
		if (signal.aborted || !isAlive() || target.cutFrom.has(host)) {
			throw new EngineError('broken', 'the connection was closed', executionStatus.unknown);
		}
	}
}

/** Operation to which a call belongs: the last word of its prompt. */
function operationOf({body}: EngineCall): string {
	return promptText(body).split(' ').at(-1)!;
}
