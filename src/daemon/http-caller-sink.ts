import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {answerFraming, type AnswerFraming} from '../common/forwarding/answer-framing.js';
import {hasBody} from '../common/forwarding/has-body.js';
import {type CallerSink, type Refusal} from '../common/forwarding/caller-sink.js';
import {breakResponse} from './break-response.js';
import {type CallerCodec} from './caller-codec.js';

/** Sends the answer to a request over HTTP. */
export class HttpCallerSink implements CallerSink {
	onDisconnect: (() => void) | undefined;
	onDrain: (() => void) | undefined;
	private _framing: AnswerFraming | undefined;

	constructor(
		private readonly _res: ServerResponse,
		private readonly _codec: CallerCodec,
		/** Called with the number of bytes of the answer that the caller has not taken yet. */
		private readonly _onUnsent: (bytes: number) => void = () => undefined,
	) {
		_res.on('drain', () => {
			this._onUnsent(_res.writableLength);
			this.onDrain?.();
		});
		_res.once('close', () => {
			if (!_res.writableFinished) {
				this.onDisconnect?.();
			}
		});
	}

	get isStarted(): boolean {
		return this._res.headersSent;
	}

	get canStream(): boolean {
		// Without chunks, the end of a stream is that of its connection, which the kernel closes regularly when this process is killed.
		return this._res.req.httpVersion !== '1.0';
	}

	get framing(): AnswerFraming | undefined {
		return this._framing;
	}

	writeHead(status: number, headers: readonly string[], length: number | undefined): void {
		const isBodiless = !hasBody(this._res.req.method ?? '', status);
		this._res.writeHead(status, this._withConnection(length === undefined || status === 204 ? [...headers] : [...headers, 'content-length', String(length)]));
		if (length !== undefined || isBodiless) {
			this._framing = answerFraming.length;
			return;
		}

		this._framing = this._res.chunkedEncoding ? answerFraming.chunked : answerFraming.close;
		this._res.flushHeaders();
	}

	write(chunk: Uint8Array): boolean {
		const isKeepingUp = this._res.write(chunk);
		this._onUnsent(this._res.writableLength);
		return isKeepingUp;
	}

	end(): void {
		this._res.end();
	}

	break(): void {
		breakResponse(this._res, this._framing === answerFraming.close);
	}

	refuse(refusal: Refusal): void {
		if (this._res.destroyed || this._res.headersSent) {
			return;
		}

		const {status, code, ran} = refusal;
		const body = JSON.stringify({error: {code, ran}});
		this._res.writeHead(status, this._withConnection([...this._codec.refusalHeaders(refusal), 'content-type', 'application/json', 'content-length', String(Buffer.byteLength(body))]));
		this._res.end(body);
	}

	/** Adds a `connection` header set earlier, because `writeHead` with a list of headers drops it. */
	private _withConnection(headers: string[]): string[] {
		if (this._res.getHeader('connection') === 'close') {
			headers.push('connection', 'close');
		}

		return headers;
	}
}
