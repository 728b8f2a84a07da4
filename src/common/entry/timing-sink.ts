import {type Clock} from '../base/clock.js';
import {type AnswerChunk} from './answer-chunk.js';
import {type AnswerHead, type AnswerSink, type AnswerTail} from './answer-sink.js';

/** Measures the time until the answer starts, including queueing and discarded attempts. */
export class TimingSink implements AnswerSink {
	private readonly _createdAt: number;
	private _firstTokenMs: number | undefined;

	constructor(private readonly _sink: AnswerSink, private readonly _clock: Clock) {
		this._createdAt = _clock.now();
	}

	/** Time in milliseconds from creation to the start of the answer; undefined until it starts. */
	get firstTokenMs(): number | undefined {
		return this._firstTokenMs;
	}

	start(head: AnswerHead): void {
		this._firstTokenMs = this._clock.now() - this._createdAt;
		this._sink.start(head);
	}

	async write(chunk: AnswerChunk): Promise<void> {
		return this._sink.write(chunk);
	}

	end(tail: AnswerTail): void {
		this._sink.end(tail);
	}
}
