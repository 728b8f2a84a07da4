import {
	defaultBody, framingState, type FramingState, MessageOverheadError, MessageScanner,
} from './message-scanner.js';

/** Interim answers count towards the final one. */
const limits = {bytes: 32 * 1024, lines: 1000} as const;
/** Memory that the HTTP client takes for a line besides its bytes, about. */
const lineMemoryBytes = 400;
const firstFinalStatus = 200;
const noBodyStatuses: ReadonlySet<number> = new Set([204, 304]);

/** An answer has more bytes besides its body than any useful answer needs. */
export class AnswerOverheadError extends MessageOverheadError {
	constructor(message: string) {
		super(message, 'ANSWER_OVERHEAD');
	}
}

/**
Follows the answers of a server. The HTTP client limits neither the status line, the chunk headers nor the number of interim
answers. A chunk costs one unit. Following stops at the end of an answer: what comes after it must not keep the parser from it.
*/
export class AnswerScanner extends MessageScanner {
	private _isBodyAllowed = true;
	private _status = firstFinalStatus;
	/** Whether no answer is expected. */
	private _isOver = true;

	constructor() {
		super(limits);
	}

	/** Whether the last bytes that were followed complete an answer. */
	get hasEnded(): boolean {
		return this.hasStopped;
	}

	/** Memory in bytes that the HTTP client holds of the answer besides its body, about. */
	get memory(): number {
		return this._isOver ? 0 : this.overhead.bytes + (this.overhead.lines * lineMemoryBytes);
	}

	/** Expects the answer to a request that begins now. */
	begin(method: string): void {
		this._isOver = false;
		this._isBodyAllowed = method !== 'HEAD';
		this.resetOverhead();
		this.beginHead();
	}

	protected override get body() {
		return {isPossible: this._isBodyAllowed && this._status >= firstFinalStatus && !noBodyStatuses.has(this._status), byDefault: defaultBody.toClose};
	}

	protected override costOf(state: FramingState): number {
		return state === framingState.chunkHeader ? 1 : 0;
	}

	protected override readFirstLine(line: string): void {
		this._status = Number(/^HTTP\/\S+ (?<status>\d{3})/v.exec(line)?.groups?.status ?? firstFinalStatus);
	}

	protected override endMessage(): void {
		if (this._status >= firstFinalStatus) {
			this._isOver = true;
			this.stop();
		}

		super.endMessage();
	}

	protected override createError(message: string): AnswerOverheadError {
		return new AnswerOverheadError(message);
	}
}
