/** Bytes of an answer besides its body that are accepted: its heads and trailers, and what its chunk headers exceed their chunks by. */
const maxOverheadBytes = 32 * 1024;
/** Lines of all heads and trailers of an answer. */
const maxLines = 1000;
/** Length of a chunk header that has a size and its line end only. */
const plainChunkHeaderBytes = 18;
/** Memory that the HTTP client takes for a line besides its bytes, about. */
const lineMemoryBytes = 400;
/** Bytes of a header line that are kept to read the framing of the body. */
const keptLineBytes = 256;

const lineFeed = 0x0A;
const firstFinalStatus = 200;
const noBodyStatuses: ReadonlySet<number> = new Set([204, 304]);

const framingState = {
	head: 'head',
	sizedBody: 'sized body',
	bodyToClose: 'body to the close',
	chunkHeader: 'chunk header',
	chunkData: 'chunk data',
	trailers: 'trailers',
} as const;
type FramingState = typeof framingState[keyof typeof framingState];

/** Error code of an answer that was given up for its overhead. */
const overheadCode = 'ANSWER_OVERHEAD';

/** An answer has more bytes besides its body than any useful answer needs. */
export class AnswerOverheadError extends Error {
	readonly code = overheadCode;
}

/**
Follows the framing of the answers on a connection before the HTTP parser gets their bytes. The parser limits neither the status
line, the chunk headers nor the number of interim answers, and parses on beyond its limits to the end of what was read.
*/
export class AnswerScanner {
	private _state: FramingState = framingState.head;
	private _hasBody = true;
	/** Bytes of all heads and trailers. */
	private _overheadBytes = 0;
	/** Bytes that the chunk headers have beyond a size, less those of the chunks. */
	private _extensionBytes = 0;
	private _lines = 0;
	private _line = '';
	private _lineBytes = 0;
	private _status: number | undefined;
	private _isChunked = false;
	private _length: number | undefined;
	/** Bytes until the end of the body or of the chunk. */
	private _remaining = 0;
	private _hasChunkSize = false;
	private _hasEnded = false;
	/** Whether no answer is expected. */
	private _isOver = true;

	/** Whether the last bytes that were followed complete an answer. */
	get hasEnded(): boolean {
		return this._hasEnded;
	}

	/** Memory in bytes that the HTTP client holds of the answer besides its body, about. */
	get memory(): number {
		return this._isOver ? 0 : this._overheadBytes + (this._lines * lineMemoryBytes);
	}

	/** Expects the answer to a request that begins now. */
	begin(method: string): void {
		this._isOver = false;
		this._hasBody = method !== 'HEAD';
		this._overheadBytes = 0;
		this._extensionBytes = 0;
		this._lines = 0;
		this._beginHead();
	}

	/**
	Follows bytes as far as the end of an answer, or the beginning of the chunk after `maxChunks`. What follows an answer must not
	keep the parser from it.
	@returns the number of bytes that were followed, and of chunks that began in them.
	@throws AnswerOverheadError
	*/
	follow(bytes: Uint8Array, maxChunks: number): {readonly bytes: number; readonly chunks: number} {
		let at = 0;
		let chunks = 0;
		this._hasEnded = false;
		while (at < bytes.length && !this._hasEnded) {
			if (this._state === framingState.bodyToClose) {
				return {bytes: bytes.length, chunks};
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

			if (this._state === framingState.chunkHeader && this._lineBytes === 0) {
				if (chunks >= maxChunks) {
					break;
				}

				chunks++;
			}

			const lineEnd = bytes.indexOf(lineFeed, at);
			const end = lineEnd === -1 ? bytes.length : lineEnd + 1;
			this._readLine(bytes, at, end);
			at = end;
			if (lineEnd !== -1) {
				this._endLine();
			}
		}

		return {bytes: at, chunks};
	}

	private _endAnswer(): void {
		this._hasEnded = true;
		this._isOver = true;
		this._beginHead();
	}

	private _beginHead(): void {
		this._state = framingState.head;
		this._status = undefined;
		this._isChunked = false;
		this._length = undefined;
		this._beginLine();
	}

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
			const kept = Math.min(length, keptLineBytes - this._line.length);
			for (let at = start; at < start + kept; at++) {
				this._line += String.fromCodePoint(bytes[at]!);
			}
		}

		this._lineBytes += length;
		if (this._overheadBytes + this._extensionBytes > maxOverheadBytes) {
			throw new AnswerOverheadError(`more than ${maxOverheadBytes} bytes besides the body, in the ${this._state}`);
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

		if (++this._lines > maxLines) {
			throw new AnswerOverheadError(`more than ${maxLines} lines besides the body, in the ${this._state}`);
		}

		const line = this._line.trim();
		this._beginLine();
		if (this._state === framingState.trailers) {
			if (line === '') {
				this._endAnswer();
			}
		} else if (line === '') {
			// The parser ignores blank lines before an answer.
			if (this._status !== undefined) {
				this._endHead();
			}
		} else if (this._status === undefined) {
			this._status = Number(/^HTTP\/\S+ (?<status>\d{3})/v.exec(line)?.groups?.status ?? firstFinalStatus);
		} else {
			this._readHeader(line);
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
		if (this._status! < firstFinalStatus) {
			this._beginHead();
		} else if (!this._hasBody || noBodyStatuses.has(this._status!)) {
			this._endAnswer();
		} else if (this._isChunked) {
			this._state = framingState.chunkHeader;
			this._remaining = 0;
		} else if (this._length === undefined) {
			this._state = framingState.bodyToClose;
		} else {
			this._state = framingState.sizedBody;
			this._remaining = this._length;
			if (!(this._length > 0)) {
				this._endAnswer();
			}
		}
	}

	private _endData(): void {
		if (this._state === framingState.chunkData) {
			this._state = framingState.chunkHeader;
		} else {
			this._endAnswer();
		}
	}
}

function hexDigit(byte: number): number | undefined {
	if (byte >= 0x30 && byte <= 0x39) {
		return byte - 0x30;
	}

	const lower = byte | 0x20; // eslint-disable-line no-bitwise -- folds the case of a letter
	return lower >= 0x61 && lower <= 0x66 ? lower - 0x57 : undefined;
}
