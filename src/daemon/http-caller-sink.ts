import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {answerFraming, type AnswerFraming} from '../common/forwarding/answer-framing.js';
import {type CallerSink, type Refusal} from '../common/forwarding/caller-sink.js';
import {type CallerCodec} from './caller-codec.js';

/** Sends the answer to a request over HTTP. */
export class HttpCallerSink implements CallerSink {
	onDisconnect: (() => void) | undefined;
	onDrain: (() => void) | undefined;
	private _framing: AnswerFraming | undefined;

	constructor(private readonly _res: ServerResponse, private readonly _codec: CallerCodec) {
		_res.on('drain', () => {
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

	get framing(): AnswerFraming | undefined {
		return this._framing;
	}

	writeHead(status: number, headers: readonly string[], framing: number | 'chunked' | 'until-close'): void {
		const sent = [...headers];
		if (framing === 'until-close') {
			this._res.useChunkedEncodingByDefault = false;
			this._res.setHeader('connection', 'close');
		} else if (framing !== 'chunked') {
			sent.push('content-length', String(framing));
		}

		this._res.writeHead(status, this._withConnection(sent));
		this._framing = typeof framing === 'number' ? answerFraming.length : (this._res.chunkedEncoding ? answerFraming.chunked : answerFraming.close);
		if (typeof framing !== 'number') {
			this._res.flushHeaders();
		}
	}

	write(chunk: Uint8Array): boolean {
		return this._res.write(chunk);
	}

	end(): void {
		this._res.end();
	}

	destroy(): void {
		this._res.destroy();
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
