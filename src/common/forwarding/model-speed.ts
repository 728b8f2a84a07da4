import {DecayedLine} from './decayed-line.js';
import {type GenerationInfo} from './forward-request.js';

/** Half-life in milliseconds of the samples; a host sends about one request a second to a large model. */
const halfLifeMs = 10_000;

/** Time in milliseconds without a sample after which the expected times begin to decay, so that the model is asked again. */
const decayAfterMs = 5000;
/** Half-life in milliseconds of the decay. */
const decayHalfLifeMs = 5000;

/** Expected times of an answer in milliseconds from sending the request. */
export interface AnswerTimes {
	readonly firstEventMs: number;
	readonly lastEventMs: number;
}

/** Estimates how long a model takes, from the answers that it gave to this host. */
export class ModelSpeed {
	private readonly _firstEventMs = new DecayedLine(halfLifeMs);
	private readonly _outputMs = new DecayedLine(halfLifeMs);
	private _recordedAt = 0;

	/** Expected times of an answer; 0 before the first one, so that the model is asked. */
	expected(generation: GenerationInfo, now: number): AnswerTimes {
		const factor = 0.5 ** (Math.max(0, now - this._recordedAt - decayAfterMs) / decayHalfLifeMs);
		const firstEventMs = this._firstEventMs.at(generation.inputTokens) * factor;
		return {firstEventMs, lastEventMs: firstEventMs + (this._outputMs.at(outputTokens(generation)) * factor)};
	}

	/** Records the time in milliseconds from sending a request to its first event, or to its abort. */
	recordFirstEvent({inputTokens}: GenerationInfo, elapsedMs: number, now: number): void {
		this._recordedAt = now;
		this._firstEventMs.add(inputTokens, elapsedMs, now);
	}

	/** Records the time in milliseconds from the first to the last event of an answer. */
	recordEnd(generation: GenerationInfo, elapsedMs: number, now: number): void {
		this._outputMs.add(outputTokens(generation), elapsedMs, now);
	}
}

function outputTokens({expectedOutputTokens, maxOutputTokens}: GenerationInfo): number {
	return Math.max(1, expectedOutputTokens ?? maxOutputTokens);
}
