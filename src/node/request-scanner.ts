import {
	defaultBody, framingState, type FramingState, MessageOverheadError, MessageScanner,
} from './message-scanner.js';

const limits = {bytes: 64 * 1024, lines: 1000} as const;
/** Cost of a request that arrives together with an earlier one. */
const requestUnits = 50;
/** Lines of a head that cost nothing, and the number of further lines that cost a unit together. */
const freeLines = 64;
const linesPerUnit = 8;
/** Memory that the HTTP server takes for each byte of a head, about. */
const parsedFactor = 2;

/** Error codes of requests that were given up for what they have in their head, and after it. */
export const requestOverheadCode = {head: 'REQUEST_HEAD_OVERHEAD', body: 'REQUEST_BODY_OVERHEAD'} as const;

/** A request has more bytes besides its body than any useful request needs. */
export class RequestOverheadError extends MessageOverheadError {}

/**
Follows the requests of a caller. The HTTP server limits neither blank lines, zeros of a chunk size nor the number of requests that
it takes at once. A chunk costs one unit.
*/
export class RequestScanner extends MessageScanner {
	private _isFirst = true;

	constructor() {
		super(limits);
	}

	/** Memory in bytes that the HTTP server holds of a head that is not complete, about. */
	get headMemory(): number {
		return this.isInHead ? this.overhead.bytes * parsedFactor : 0;
	}

	/** Begins to follow the bytes of a read; the first request in them costs nothing. */
	beginRead(): void {
		this._isFirst = true;
	}

	protected override get body() {
		return {isPossible: true, byDefault: defaultBody.none};
	}

	protected override costOf(state: FramingState, lines: number, hasFirstLine: boolean): number {
		if (state === framingState.chunkHeader) {
			return 1;
		}

		if (state === framingState.head && !hasFirstLine) {
			return this._isFirst ? 0 : requestUnits;
		}

		return lines > freeLines && lines % linesPerUnit === 0 ? 1 : 0;
	}

	protected override readFirstLine(): void {
		this._isFirst = false;
	}

	protected override endMessage(): void {
		this.resetOverhead();
		super.endMessage();
	}

	protected override createError(message: string, state: FramingState): RequestOverheadError {
		return new RequestOverheadError(message, state === framingState.head ? requestOverheadCode.head : requestOverheadCode.body);
	}
}
