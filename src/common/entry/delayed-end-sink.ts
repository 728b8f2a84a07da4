import {type AnswerChunk} from './answer-chunk.js';
import {type AnswerHead, type AnswerSink, type AnswerTail} from './answer-sink.js';

/** Delays the end of an answer, so that the caller never has the complete answer before it is billed. */
export class DelayedEndSink {
	private readonly _held: AnswerChunk[] = [];
	private _isStarted = false;

	constructor(private readonly _sink: AnswerSink) {}

	/** Whether the caller may have received part of the answer. */
	get isStarted(): boolean {
		return this._isStarted;
	}

	/** Writes the next chunk. The chunk with the finish reason, and all that follow it, are held until the answer is billed. */
	write(head: AnswerHead, chunk: AnswerChunk): Promise<void> | undefined {
		if (this._held.length > 0 || chunk.finishReason !== undefined) {
			this._held.push(chunk);
			return undefined;
		}

		this._start(head);
		return this._sink.write(chunk);
	}

	/** Writes the held chunks and ends the answer. */
	async end(head: AnswerHead, tail: AnswerTail): Promise<void> {
		this._start(head);
		for (const chunk of this._held.splice(0)) {
			// eslint-disable-next-line no-await-in-loop -- chunks are sent in order
			await this._sink.write(chunk);
		}

		this._sink.end(tail);
	}

	private _start(head: AnswerHead): void {
		if (!this._isStarted) {
			this._isStarted = true;
			this._sink.start(head);
		}
	}
}
