import {ByteBuffer} from '../base/byte-buffer.js';
import {type HeldPart} from '../base/held-bytes.js';
import {type AttemptEvidence} from './attempt-evidence.js';
import {type AttemptHandle} from './backend-port.js';
import {EventSplitter} from './event-splitter.js';
import {type AnswerHead} from './forward-request.js';
import {type ServerRecord} from './server-pool.js';

/** Largest answer in bytes that is buffered until it is complete, so that a broken one can be retried. */
const maxBufferedBytes = 1024 * 1024;

/** One attempt at one backend server, or at another entry host if it is handed over, with the part of its answer received so far. */
export class Attempt {
	handle: AttemptHandle | undefined;
	head: AnswerHead | undefined;
	/** Time at which the head arrived. */
	headAt: number | undefined;
	/** Whether the answer ended while it was held back. */
	hasEnded = false;
	readonly splitter = new EventSplitter();
	private readonly _buffer = new ByteBuffer();
	private _isFinished = false;

	constructor(
		readonly record: ServerRecord,
		readonly model: string | undefined,
		readonly sentAt: number,
		readonly evidence: AttemptEvidence,
		/** Counts the buffered bytes. */
		private readonly _held: HeldPart,
		readonly isHandedOver = false,
		/** Called when the attempt is no longer in flight. */
		private readonly _onFinished: () => void = () => undefined,
	) {
		record.inFlight++;
		record.health.recordSent(sentAt);
	}

	/** Whether the attempt is no longer in flight. */
	get isFinished(): boolean {
		return this._isFinished;
	}

	/** Number of bytes that are buffered of an answer. */
	get bufferedBytes(): number {
		return this._buffer.length;
	}

	/** Buffers a chunk. @returns whether the answer is still short enough to be buffered. */
	buffer(chunk: Uint8Array): boolean {
		this._buffer.push(chunk);
		this._held.set(this._buffer.length);
		return this._buffer.length <= maxBufferedBytes;
	}

	/** Records for the health of the server whether it failed this attempt. */
	recordResult(isFailed: boolean, now: number): void {
		this.record.health.record(isFailed, this.sentAt, now);
	}

	/** Whether the attempt was sent by the given time, and neither a head nor, of a streamed answer, an event has arrived since then. */
	isSilentSince(time: number): boolean {
		return Math.max(this.sentAt, this.headAt ?? -Infinity) <= time && !this.splitter.hasEvents;
	}

	/** Removes and returns the buffered parts. */
	takeBuffered(): readonly Uint8Array[] {
		this._held.dispose();
		return this._buffer.takeBlocks();
	}

	/** Marks the attempt as finished. */
	finish(): void {
		if (!this._isFinished) {
			this._isFinished = true;
			this.record.inFlight--;
			this.evidence.finish();
			this._onFinished();
		}
	}

	/** Cancels the attempt and closes its connection, so that the backend server stops working on it. */
	abort(): void {
		this.finish();
		this._held.dispose();
		this.handle?.abort();
	}

	/** Describes the attempt for the log: server, model, outcome, time to the head of the answer, time from its first to its last chunk. */
	describe(outcome: string): string {
		const headMs = this.headAt === undefined ? 'no-head' : `${Math.round(this.headAt - this.sentAt)}ms`;
		const {bodyMs} = this.evidence;
		const body = bodyMs === undefined ? undefined : `body-${Math.round(bodyMs)}ms`;
		return [this.record.server.id, this.model, outcome, headMs, body].filter(part => part !== undefined).join(':');
	}
}
