import {type Attempt} from './attempt.js';
import {type CallerAnswer} from './caller-answer.js';
import {type StreamProblem} from './event-splitter.js';
import {type AnswerHead} from './forward-request.js';
import {type AdmittedRequest} from './forwarder.js';
import {hasBody} from './has-body.js';
import {isSuccess} from './head-verdict.js';
import {repetition} from './routing-config.js';

/** Why an ended answer is incomplete. */
export type AnswerProblem = 'torn-event' | 'short-answer';
/** Why an answer in progress cannot be used. */
export type ChunkProblem = StreamProblem | 'answer-too-long';

/** Passes answers to a caller: streams event by event as they arrive, other answers, and streams that the caller could not tell from cut ones, once they are complete. */
export class AnswerRelay {
	private _lastEventId: number | undefined;

	constructor(private readonly _answer: CallerAnswer, private readonly _admitted: Pick<AdmittedRequest, 'req' | 'route'>) {
		this._lastEventId = _admitted.req.resumeAfter;
	}

	/** ID of the last event that the caller has received; undefined before the first one. */
	get lastEventId(): number | undefined {
		return this._lastEventId;
	}

	/** Sends the head of a streamed answer, unless an earlier attempt has already sent one. */
	begin(head: AnswerHead): void {
		if (this._isPassedOn(head) && !this._answer.isStarted) {
			this._answer.begin(head.status, head.headers, undefined);
		}
	}

	/** Processes a chunk. @returns whether to continue reading, or why the answer cannot be used. */
	push(attempt: Attempt, chunk: Uint8Array): boolean | ChunkProblem {
		if (attempt.head && this._isPassedOn(attempt.head)) {
			const {completeEvents, lastId, problem} = attempt.splitter.push(chunk);
			if (problem) {
				return problem;
			}

			this._lastEventId = lastId ?? this._lastEventId;
			return completeEvents ? this._answer.write(completeEvents) : true;
		}

		return this.hold(attempt, chunk) ?? true;
	}

	/** Checks a chunk of an answer that is held back, and buffers what is complete of it. @returns why the answer cannot be used; undefined while it can. */
	hold(attempt: Attempt, chunk: Uint8Array): ChunkProblem | undefined {
		if (!attempt.head || !this._isStreamed(attempt.head)) {
			return attempt.buffer(chunk) ? undefined : 'answer-too-long';
		}

		const {completeEvents, problem} = attempt.splitter.push(chunk);
		return problem ?? (completeEvents === undefined || attempt.buffer(completeEvents) ? undefined : 'answer-too-long');
	}

	/** Relays what was held back of a stream. @returns whether to continue reading. */
	replay(attempt: Attempt): boolean {
		let isKeepingUp = true;
		if (this._isPassedOn(attempt.head!)) {
			this._lastEventId = attempt.splitter.lastId ?? this._lastEventId;
			for (const chunk of attempt.takeBuffered()) {
				isKeepingUp = this._answer.write(chunk);
			}
		}

		return isKeepingUp;
	}

	/** Returns why an ended answer is incomplete; undefined when it is complete. */
	problemOf({splitter, bufferedBytes}: Attempt, head: AnswerHead): AnswerProblem | undefined {
		if (this._isStreamed(head)) {
			return splitter.remainder.length > 0 ? 'torn-event' : undefined;
		}

		return this._hasBody(head) && head.length !== undefined && head.length !== bufferedBytes ? 'short-answer' : undefined;
	}

	/** Ends a complete answer. */
	end(attempt: Attempt, head: AnswerHead): void {
		const {bufferedBytes, splitter: {held}} = attempt;
		const buffered = attempt.takeBuffered();
		if (!this._isPassedOn(head)) {
			this._answer.begin(head.status, head.headers, this._hasBody(head) ? bufferedBytes + held.length : head.length);
			for (const chunk of buffered) {
				this._answer.write(chunk);
			}
		}

		if (held.length > 0) {
			this._answer.write(held);
		}

		this._answer.complete();
	}

	/** Whether the events of an answer are passed on as they arrive. */
	private _isPassedOn(head: AnswerHead): boolean {
		return this._answer.canStream && this._isStreamed(head);
	}

	private _isStreamed(head: AnswerHead): boolean {
		return this._admitted.route.repetition === repetition.stream && isSuccess(head) && this._hasBody(head);
	}

	private _hasBody({status}: AnswerHead): boolean {
		return hasBody(this._admitted.req.message.method, status);
	}
}
