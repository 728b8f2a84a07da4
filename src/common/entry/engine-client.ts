import {type BackendServer} from '../control/backend-server.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type LoadReport} from '../routing/load-report.js';
import {type AnswerChunk} from './answer-chunk.js';
import {type ChatBody} from './chat-body.js';

/** One attempt of a request at an engine. */
export interface EngineCall {
	readonly attemptId: string;
	readonly server: BackendServer;
	readonly ref: VersionRef;
	readonly body: ChatBody;
	readonly maxTokens: number;
	/** Lower values run first. */
	readonly priority: number;
	/** Configuration revision under which the request was dispatched. */
	readonly revision: number;
	/** Time in milliseconds within which the engine may start; later it refuses the request. */
	readonly startWithinMs: number;
	/** Time in milliseconds until the deadline of the request; a later answer is not used. */
	readonly deadlineMs: number;
	/** Whether the request may still be written to the server; asked immediately before it is. */
	readonly mayStart: () => boolean;
	/** Answer of an interrupted attempt so far; the engine continues after it. */
	readonly resumeAfter?: {readonly text: string; readonly tokens: number};
}

/** Tokens used, as the engine counted them. */
export interface EngineUsage {
	readonly inputTokens: number;
	readonly outputTokens: number;
}

/** An accepted attempt. */
export interface EngineAnswer {
	/** Load of the engine when it accepted the attempt. */
	readonly load?: Omit<LoadReport, 'at'>;
	/** @throws EngineError when the stream breaks. */
	readonly chunks: AsyncIterable<AnswerChunk>;
	/** Known after the last chunk. */
	readonly usage: EngineUsage | undefined;
}

/** Calls model engines. */
export interface EngineClient {
	/** @throws EngineError */
	call(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer>;
}
