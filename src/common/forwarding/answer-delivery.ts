import {type Clock} from '../base/clock.js';
import {type Disposable} from '../base/disposable.js';
import {AnswerRelay, type AnswerProblem, type ChunkProblem} from './answer-relay.js';
import {type Attempt} from './attempt.js';
import {type CallerAnswer} from './caller-answer.js';
import {type AnswerHead} from './forward-request.js';
import {type AdmittedRequest} from './forwarder.js';
import {type Route} from './routing-config.js';
import {StallWatch} from './stall-watch.js';
import {headTimeoutMs, pauseTimeoutMs} from './stall-timeouts.js';

/** Relays the answers of a request to its caller and detects that a server has gone silent. */
export class AnswerDelivery implements Disposable {
	private readonly _relay: AnswerRelay;
	private readonly _stallWatch: StallWatch;
	private readonly _route: Route;

	constructor(
		clock: Clock,
		answer: CallerAnswer,
		admitted: Pick<AdmittedRequest, 'req' | 'route'>,
		/** Called when the server in use has been silent for too long; undefined when no other server may be asked. */
		private readonly _onStall: (() => boolean) | undefined,
	) {
		this._relay = new AnswerRelay(answer, admitted);
		this._route = admitted.route;
		this._stallWatch = new StallWatch(clock, () => _onStall?.() ?? false);
	}

	/** ID of the last event that the caller has received; undefined before the first one. */
	get lastEventId(): number | undefined {
		return this._relay.lastEventId;
	}

	/** Waits for the head of an answer; without a timeout when another one limits the wait. */
	awaitHead(hasTimeout: boolean): void {
		this._stallWatch.watch(hasTimeout && this._onStall ? headTimeoutMs(this._route) : 0);
	}

	/** Begins to relay an answer. */
	begin(head: AnswerHead): void {
		this._stallWatch.watch(this._onStall ? pauseTimeoutMs(this._route) : 0);
		this._relay.begin(head);
	}

	/** Relays a chunk. @returns whether to continue reading, or why the answer cannot be used. */
	push(attempt: Attempt, chunk: Uint8Array): boolean | ChunkProblem {
		const before = attempt.splitter.lastId;
		const result = this._relay.push(attempt, chunk);
		// Bytes that complete no event are no progress: a server may send some now and then without an end.
		if (attempt.splitter.lastId !== before) {
			this._stallWatch.touch();
		}

		if (result === false) {
			this._stallWatch.suspend();
		}

		return result;
	}

	/** Checks and buffers a chunk of an answer that is held back. @returns why the answer cannot be used; undefined while it can. */
	hold(attempt: Attempt, chunk: Uint8Array): ChunkProblem | undefined {
		return this._relay.hold(attempt, chunk);
	}

	/** Begins to relay an answer that was held back, with what has arrived of it. */
	beginHeld(attempt: Attempt): void {
		this.begin(attempt.head!);
		if (!this._relay.replay(attempt)) {
			this._stallWatch.suspend();
		}
	}

	/** Called when the caller reads again. */
	resume(): void {
		this._stallWatch.resume();
	}

	/** Returns why an ended answer is incomplete; undefined when it is complete. */
	problemOf(attempt: Attempt): AnswerProblem | 'no-answer' | undefined {
		return attempt.head ? this._relay.problemOf(attempt, attempt.head) : 'no-answer';
	}

	/** Ends a complete answer. */
	end(attempt: Attempt): void {
		this._relay.end(attempt, attempt.head!);
	}

	dispose(): void {
		this._stallWatch.dispose();
	}
}
