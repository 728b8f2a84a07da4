import {Buffer} from 'node:buffer';

/** Length of a chunk header that has a size and its line end only. */
const plainChunkHeaderBytes = 18;
/** Bytes of a header line that are kept to read the framing of the body. */
const keptLineBytes = 256;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
/** Bit that tells a lower-case letter from its capital. */
const lowerCaseBit = 0x20;
/** First letters, in lower case, of the headers that state the framing of a body. */
const framingLetters: ReadonlySet<number> = new Set([0x63, 0x74]);

/** Part of a message that a scanner is in. */
export const framingState = {
	head: 'head',
	sizedBody: 'sized body',
	bodyToClose: 'body to the close',
	chunkHeader: 'chunk header',
	chunkData: 'chunk data',
	trailers: 'trailers',
} as const;
export type FramingState = typeof framingState[keyof typeof framingState];

/** A message has more bytes besides its body than any useful message needs. */
export class MessageOverheadError extends Error {
	constructor(message: string, readonly code: string) {
		super(message);
	}
}

/** What a message may have besides its body. */
export interface OverheadLimits {
	/** Bytes of its heads and trailers, and of what its chunk headers exceed their chunks by. */
	readonly bytes: number;
	/** Lines of its heads and trailers. */
	readonly lines: number;
}

/** How the body of a message ends when its head states neither a length nor chunks. */
export const defaultBody = {none: 'no body', toClose: 'to the close'} as const;
export type DefaultBody = typeof defaultBody[keyof typeof defaultBody];

/**
Follows the framing of the messages on a connection before the HTTP parser gets their bytes. The parser does not limit everything
that a message may consist of, and parses on beyond its limits to the end of what was read.
*/
export abstract class MessageScanner {
	private _state: FramingState = framingState.head;
	/** Bytes of all heads and trailers. */
	private _overheadBytes = 0;
	/** Bytes that the chunk headers have beyond a size, less those of the chunks. */
	private _extensionBytes = 0;
	private _lines = 0;
	/** Beginning of the present line, if it may tell the framing. */
	private _line = '';
	private _lineBytes = 0;
	private _isLineKept = false;
	private _isLineBlank = false;
	private _hasFirstLine = false;
	private _isChunked = false;
	private _length: number | undefined;
	/** Bytes until the end of the body or of the chunk. */
	private _remaining = 0;
	private _hasChunkSize = false;
	private _hasStopped = false;

	constructor(private readonly _limits: OverheadLimits) {}

	/**
	Follows bytes as far as the first line with which they would cost more than `maxUnits`, or the place where the scanner stops.
	@returns the number of bytes that were followed, and their cost.
	@throws MessageOverheadError
	*/
	follow(bytes: Uint8Array, maxUnits: number): {readonly bytes: number; readonly units: number} {
		let at = 0;
		let units = 0;
		this._hasStopped = false;
		while (at < bytes.length && !this._hasStopped) {
			if (this._state === framingState.bodyToClose) {
				return {bytes: bytes.length, units};
			}

			if (this._state === framingState.sizedBody || this._state === framingState.chunkData) {
				const taken = Math.min(this._remaining, bytes.length - at);
				at += taken;
				this._remaining -= taken;
				if (this._remaining === 0) {
					this._endData();
				}

				continue;
			}

			if (this._lineBytes === 0) {
				const cost = this.costOf(this._state, this._lines, this._hasFirstLine);
				if (cost > 0 && units + cost > maxUnits) {
					break;
				}

				units += cost;
			}

			const lineEnd = bytes.indexOf(lineFeed, at);
			const end = lineEnd === -1 ? bytes.length : lineEnd + 1;
			this._readLine(bytes, at, end);
			at = end;
			if (lineEnd !== -1) {
				this._endLine();
			}
		}

		return {bytes: at, units};
	}

	/** Whether the last bytes that were followed end where the scanner stopped. */
	protected get hasStopped(): boolean {
		return this._hasStopped;
	}

	/** Bytes and lines of the heads and trailers of the message so far. */
	protected get overhead(): OverheadLimits {
		return {bytes: this._overheadBytes, lines: this._lines};
	}

	/** Whether the next byte belongs to a head, or comes before one. */
	protected get isInHead(): boolean {
		return this._state === framingState.head;
	}

	/** Follows no more of the bytes. */
	protected stop(): void {
		this._hasStopped = true;
	}

	/** Begins to count what a message has besides its body. */
	protected resetOverhead(): void {
		this._overheadBytes = 0;
		this._extensionBytes = 0;
		this._lines = 0;
	}

	/** Expects a head. */
	protected beginHead(): void {
		this._state = framingState.head;
		this._hasFirstLine = false;
		this._isChunked = false;
		this._length = undefined;
		this._beginLine();
	}

	/** Ends a message, or an interim answer. */
	protected endMessage(): void {
		this.beginHead();
	}

	/** Whether a message may have a body after the head that ends now, and how the body ends by default. */
	protected abstract get body(): {readonly isPossible: boolean; readonly byDefault: DefaultBody};

	/** Cost in units of the line that begins now, after some lines of the message. */
	protected abstract costOf(state: FramingState, lines: number, hasFirstLine: boolean): number;

	/** Reads the first line of a head. */
	protected abstract readFirstLine(line: string): void;

	protected abstract createError(message: string, state: FramingState): MessageOverheadError;

	private _beginLine(): void {
		this._line = '';
		this._lineBytes = 0;
		this._hasChunkSize = false;
	}

	/** Reads a part of a line. */
	private _readLine(bytes: Uint8Array, start: number, end: number): void {
		const length = end - start;
		if (this._state === framingState.chunkHeader) {
			this._extensionBytes += Math.max(0, this._lineBytes + length - plainChunkHeaderBytes) - Math.max(0, this._lineBytes - plainChunkHeaderBytes);
			this._readChunkSize(bytes, start, end);
		} else {
			this._overheadBytes += length;
			if (this._lineBytes === 0) {
				const first = bytes[start]!;
				this._isLineBlank = first === carriageReturn || first === lineFeed;
				this._isLineKept = !this._isLineBlank && (!this._hasFirstLine || framingLetters.has(first | lowerCaseBit)); // eslint-disable-line no-bitwise -- folds the case of a letter
			}

			if (this._isLineKept) {
				const kept = Math.min(length, keptLineBytes - this._line.length);
				this._line += Buffer.from(bytes.buffer, bytes.byteOffset + start, kept).toString('latin1');
			}
		}

		this._lineBytes += length;
		if (this._overheadBytes + this._extensionBytes > this._limits.bytes) {
			throw this.createError(`more than ${this._limits.bytes} bytes besides the body, in the ${this._state}`, this._state);
		}
	}

	private _readChunkSize(bytes: Uint8Array, start: number, end: number): void {
		for (let at = start; at < end && !this._hasChunkSize; at++) {
			const digit = hexDigit(bytes[at]!);
			if (digit === undefined) {
				this._hasChunkSize = true;
			} else {
				this._remaining = (this._remaining * 16) + digit;
			}
		}
	}

	private _endLine(): void {
		if (this._state === framingState.chunkHeader) {
			if (this._remaining === 0) {
				this._state = framingState.trailers;
			} else {
				this._extensionBytes = Math.max(0, this._extensionBytes - this._remaining);
				// The line end after the data belongs to the chunk.
				this._remaining += 2;
				this._state = framingState.chunkData;
			}

			this._beginLine();
			return;
		}

		if (++this._lines > this._limits.lines) {
			throw this.createError(`more than ${this._limits.lines} lines besides the body, in the ${this._state}`, this._state);
		}

		const line = this._line.trim();
		const isBlank = this._isLineBlank;
		this._beginLine();
		if (this._state === framingState.trailers) {
			if (isBlank) {
				this.endMessage();
			}
		} else if (isBlank) {
			// The parser ignores blank lines before a message.
			if (this._hasFirstLine) {
				this._endHead();
			}
		} else if (this._hasFirstLine) {
			this._readHeader(line);
		} else {
			this._hasFirstLine = true;
			this.readFirstLine(line);
		}
	}

	private _readHeader(line: string): void {
		const colon = line.indexOf(':');
		const name = line.slice(0, colon).toLowerCase();
		if (name === 'content-length') {
			this._length = Number(line.slice(colon + 1));
		} else if (name === 'transfer-encoding') {
			this._isChunked = line.toLowerCase().endsWith('chunked');
		}
	}

	private _endHead(): void {
		const {isPossible, byDefault} = this.body;
		if (!isPossible) {
			this.endMessage();
		} else if (this._isChunked) {
			this._state = framingState.chunkHeader;
			this._remaining = 0;
		} else if (this._length === undefined && byDefault === defaultBody.toClose) {
			this._state = framingState.bodyToClose;
		} else if (this._length !== undefined && this._length > 0) {
			this._state = framingState.sizedBody;
			this._remaining = this._length;
		} else {
			this.endMessage();
		}
	}

	private _endData(): void {
		if (this._state === framingState.chunkData) {
			this._state = framingState.chunkHeader;
		} else {
			this.endMessage();
		}
	}
}

function hexDigit(byte: number): number | undefined {
	if (byte >= 0x30 && byte <= 0x39) {
		return byte - 0x30;
	}

	const lower = byte | lowerCaseBit; // eslint-disable-line no-bitwise -- folds the case of a letter
	return lower >= 0x61 && lower <= 0x66 ? lower - 0x57 : undefined;
}
