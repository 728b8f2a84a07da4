import {type AnswerFraming} from './answer-framing.js';
import {type CallerSink, type Refusal} from './caller-sink.js';

/** How an answer ended towards its caller. */
export const answerEnding = {
	/** Complete. */
	whole: 'whole',
	/** Incomplete. */
	broken: 'broken',
	/** With an error of the router. */
	refused: 'refused',
	/** The caller left first. */
	gone: 'gone',
} as const;
export type AnswerEnding = typeof answerEnding[keyof typeof answerEnding];

/** What comes to the caller of one request, and how it ends. */
export class CallerAnswer {
	private _ending: AnswerEnding | undefined;

	constructor(private readonly _sink: CallerSink) {}

	/** Whether the head of an answer has been sent. */
	get isStarted(): boolean {
		return this._sink.isStarted;
	}

	/** Whether the caller can tell a stream that is complete from one that is cut off. */
	get canStream(): boolean {
		return this._sink.canStream;
	}

	/** Undefined until the head of an answer has been sent. */
	get framing(): AnswerFraming | undefined {
		return this._sink.framing;
	}

	/** Undefined while the answer is under way. */
	get ending(): AnswerEnding | undefined {
		return this._ending;
	}

	/** Sends the head of an answer whose body has `length` bytes, or of a stream if it is undefined. */
	begin(status: number, headers: readonly string[], length: number | undefined): void {
		this._sink.writeHead(status, headers, length);
	}

	/** @returns whether the caller keeps up. */
	write(chunk: Uint8Array): boolean {
		return this._sink.write(chunk);
	}

	/** Ends an answer that is complete. */
	complete(): void {
		this._ending = answerEnding.whole;
		this._sink.end();
	}

	/** Ends an answer that is not complete. */
	break(): void {
		this._ending = answerEnding.broken;
		this._sink.break();
	}

	/** Answers with an error of the router. */
	refuse(refusal: Refusal): void {
		this._ending = answerEnding.refused;
		this._sink.refuse(refusal);
	}

	/** Records that the caller has left. */
	leave(): void {
		this._ending ??= answerEnding.gone;
	}
}
