import {type Clock} from '../base/clock.js';
import {type AnswerChunk} from './answer-chunk.js';

/** Collects the chunks of an answer and measures their timing. */
export class AnswerCollector {
	readonly chunks: AnswerChunk[] = [];
	text = '';
	tokens = 0;
	finishReason: string | undefined;
	private readonly _startedAt: number;
	private _firstAt: number | undefined;
	private _lastAt: number;
	private _confidenceSum = 0;
	private _confidenceTokens = 0;

	constructor(private readonly _clock: Clock) {
		this._startedAt = _clock.now();
		this._lastAt = this._startedAt;
	}

	/** Time from the start to the first token in milliseconds. */
	get firstTokenMs(): number {
		return (this._firstAt ?? this._clock.now()) - this._startedAt;
	}

	/** Mean time between tokens in milliseconds. */
	get betweenTokensMs(): number {
		return this.tokens > 1 && this._firstAt !== undefined ? (this._lastAt - this._firstAt) / (this.tokens - 1) : 0;
	}

	/** Mean token probability in [0, 1]; undefined when the engine does not report it. */
	get confidence(): number | undefined {
		return this._confidenceTokens > 0 ? this._confidenceSum / this._confidenceTokens : undefined;
	}

	add(chunk: AnswerChunk): void {
		this._firstAt ??= this._clock.now();
		this._lastAt = this._clock.now();
		this.chunks.push(chunk);
		this.tokens += chunk.tokens;
		this.finishReason = chunk.finishReason ?? this.finishReason;
		const {content} = chunk.delta;
		this.text += typeof content === 'string' ? content : '';
		if (chunk.confidence !== undefined) {
			this._confidenceSum += chunk.confidence * chunk.tokens;
			this._confidenceTokens += chunk.tokens;
		}
	}
}
