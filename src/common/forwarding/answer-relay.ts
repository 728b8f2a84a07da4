import {type Attempt} from './attempt.js';
import {type CallerSink} from './caller-sink.js';
import {type AnswerHead} from './forward-request.js';

/** Why an answer that has ended cannot be used. */
export type AnswerProblem = 'torn-event' | 'short-answer';

/** Brings answers to a caller: streams by whole events as they come, other answers when they are complete. */
export class AnswerRelay {
	/** Whether the stream to the caller can tell that it is complete. */
	private _isStreamFramed = true;

	constructor(
		private readonly _sink: CallerSink,
		private readonly _isStreamRoute: boolean,
		/** Number of the last event that the caller has. */
		private _lastEventId: number | undefined,
	) {}

	/** Number of the last event that the caller has; undefined when it has none. */
	get lastEventId(): number | undefined {
		return this._lastEventId;
	}

	/** Begins an answer, unless an earlier run has begun the stream. */
	begin(head: AnswerHead): void {
		if (this._isStreamed(head) && !this._sink.isStarted) {
			this._isStreamFramed = !head.isUnframed;
			this._sink.head(head.status, head.headers, head.isUnframed ? 'until-close' : 'chunked');
		}
	}

	/** Takes a chunk. @returns whether to go on reading, or that the answer is too long to be held. */
	push(attempt: Attempt, chunk: Uint8Array): boolean | 'too-long' {
		if (attempt.head && this._isStreamed(attempt.head)) {
			const {bytes, lastId} = attempt.splitter.push(chunk);
			this._lastEventId = lastId ?? this._lastEventId;
			return bytes ? this._sink.data(bytes) : true;
		}

		return attempt.hold(chunk) || 'too-long';
	}

	/** Tells why an answer that has ended is not complete; undefined when it is. */
	problemOf({splitter, heldBytes}: Attempt, head: AnswerHead): AnswerProblem | undefined {
		if (this._isStreamed(head)) {
			return splitter.rest.length > 0 ? 'torn-event' : undefined;
		}

		return head.length !== undefined && head.length !== heldBytes ? 'short-answer' : undefined;
	}

	/** Ends a complete answer. @returns whether it could be ended as complete. */
	end({held, heldBytes}: Attempt, head: AnswerHead): boolean {
		if (!this._isStreamed(head)) {
			this._sink.head(head.status, head.headers, head.isUnframed ? 'until-close' : heldBytes);
			for (const chunk of held) {
				this._sink.data(chunk);
			}
		} else if (this._isStreamFramed && head.isUnframed) {
			// Another run began the stream, and the end of this one may be that of a crash.
			this._sink.cut();
			return false;
		}

		this._sink.end();
		return true;
	}

	private _isStreamed({status}: AnswerHead): boolean {
		return this._isStreamRoute && status >= 200 && status < 300;
	}
}
