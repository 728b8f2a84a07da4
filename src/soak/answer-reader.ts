import {Buffer} from 'node:buffer';

/** Head of an answer. */
export interface AnswerHead {
	readonly status: number;
	/** Headers by name in lower case. */
	readonly headers: Readonly<Record<string, string | undefined>>;
}

const headEnd = Buffer.from('\r\n\r\n');

/** Reads one answer from the bytes of a connection, and knows by its framing whether it is complete. */
export class AnswerReader {
	head: AnswerHead | undefined;
	/** Whether all bytes of the answer have come. Without a length and chunks only the regular close of the connection completes it. */
	isComplete = false;
	/** Whether bytes have come that are no answer. */
	isInvalid = false;
	private _rest = Buffer.alloc(0);
	private readonly _body: Uint8Array[] = [];
	/** Bytes that are left of the body or chunk. */
	private _left = 0;
	private _isInTrailer = false;

	/** `isOldCaller` for a caller that speaks HTTP/1.0, which knows no chunks. */
	constructor(private readonly _isOldCaller = false) {}

	get body(): string {
		return Buffer.concat(this._body).toString('utf8');
	}

	/** Bytes that are not part of the answer. */
	get surplus(): string {
		return this.isComplete || this.isInvalid ? this._rest.toString('latin1') : '';
	}

	/** Whether the connection can be used for another request. */
	get isReusable(): boolean {
		return this.isComplete && !this._isCloseDelimited && !this._isOldCaller && this.head?.headers.connection?.toLowerCase() !== 'close';
	}

	push(bytes: Uint8Array): void {
		this._rest = Buffer.concat([this._rest, bytes]);
		while (!this.isComplete && !this.isInvalid && this._step()) {
			// Each step consumes bytes.
		}
	}

	/** Reports that the connection was closed regularly. */
	end(): void {
		this.isComplete ||= this._isCloseDelimited && !this.isInvalid;
	}

	private get _isChunked(): boolean {
		return this.head?.headers['transfer-encoding'] !== undefined;
	}

	private get _isCloseDelimited(): boolean {
		return this.head !== undefined && !this._isChunked && this.head.headers['content-length'] === undefined;
	}

	/** @returns whether it went on. */
	private _step(): boolean {
		if (!this.head) {
			return this._readHead();
		}

		if (this._left > 0 || this._isCloseDelimited) {
			return this._readBody();
		}

		return this._isChunked ? this._readChunkLine() : this._finish();
	}

	private _readHead(): boolean {
		const end = this._rest.indexOf(headEnd);
		const start = this._rest.subarray(0, 5).toString('latin1');
		if (!'HTTP/'.startsWith(start)) {
			this.isInvalid = true;
			return false;
		}

		if (end === -1) {
			return false;
		}

		const [first, ...lines] = this._rest.subarray(0, end).toString('latin1').split('\r\n');
		const status = /^HTTP\/1\.[01] (\d{3})( |$)/v.exec(first!)?.[1];
		if (status === undefined) {
			this.isInvalid = true;
			return false;
		}

		this._rest = this._rest.subarray(end + headEnd.length);
		if (status.startsWith('1')) {
			return true;
		}

		this.head = {
			status: Number(status), headers: Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()])),
		};
		this._left = this._isChunked ? 0 : Number(this.head.headers['content-length'] ?? 0);
		this.isInvalid = this._isChunked && this._isOldCaller;
		return true;
	}

	private _readBody(): boolean {
		const part = this._isCloseDelimited ? this._rest : this._rest.subarray(0, this._left);
		this._body.push(part);
		this._rest = this._rest.subarray(part.length);
		this._left -= this._isCloseDelimited ? 0 : part.length;
		return part.length > 0;
	}

	private _readChunkLine(): boolean {
		const end = this._rest.indexOf('\r\n');
		if (end === -1) {
			return false;
		}

		const line = this._rest.subarray(0, end).toString('latin1');
		this._rest = this._rest.subarray(end + 2);
		if (this._isInTrailer) {
			return line === '' ? this._finish() : true;
		}

		if (line === '' && this._body.length > 0) {
			// End of the chunk before.
			return true;
		}

		if (!/^[\da-f]+/iv.test(line)) {
			this.isInvalid = true;
			return false;
		}

		this._left = Number.parseInt(line, 16);
		this._isInTrailer = this._left === 0;
		return true;
	}

	private _finish(): boolean {
		this.isComplete = true;
		return false;
	}
}
