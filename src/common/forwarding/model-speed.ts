import {DecayedLine} from './decayed-line.js';
import {type GenerationInfo} from './forward-request.js';
import {type ServerLoad} from './server-load.js';

/** Half-life in milliseconds of the samples; a host sends about one request a second to a large model. */
const halfLifeMs = 10_000;

/** Time in milliseconds without a sample after which the expected times begin to decay, so that the model is asked again. */
const decayAfterMs = 5000;
/** Half-life in milliseconds of the decay. */
const decayHalfLifeMs = 5000;

/** Number of waiting requests up to which a server is asked although the speed of the model is unknown. */
const maxWaitingAtUnknownSpeed = 2;

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

	/** Expected times of an answer of a server with the given load. Before the first answer, a server with few waiting requests is expected to answer at once, others never. */
	expected(generation: GenerationInfo, load: ServerLoad | undefined, now: number): AnswerTimes {
		if (this._firstEventMs.meanX === undefined) {
			const unknownMs = (load?.waiting ?? 0) > maxWaitingAtUnknownSpeed ? Infinity : 0;
			return {firstEventMs: unknownMs, lastEventMs: unknownMs};
		}

		const firstEventMs = this._firstEventMs.at(this._tokensAhead(generation, load));
		const lastEventMs = firstEventMs + this._outputMs.at(outputTokens(generation));
		const factor = 0.5 ** (Math.max(0, now - this._recordedAt - decayAfterMs) / decayHalfLifeMs);
		return {firstEventMs: firstEventMs * factor, lastEventMs: lastEventMs * factor};
	}

	/** Records the time in milliseconds from sending a request to its first event, or to its abort. */
	recordFirstEvent(generation: GenerationInfo, load: ServerLoad | undefined, elapsedMs: number, now: number): void {
		this._recordedAt = now;
		this._firstEventMs.add(this._tokensAhead(generation, load), elapsedMs, now);
	}

	/** Records the time in milliseconds from the first to the last event of an answer. */
	recordEnd(generation: GenerationInfo, elapsedMs: number, now: number): void {
		this._outputMs.add(outputTokens(generation), elapsedMs, now);
	}

	/** Prompt tokens that a server processes until the first event: those of the request and of the ones before it, of which each counts as the mean. */
	private _tokensAhead({inputTokens}: GenerationInfo, load: ServerLoad | undefined): number {
		return Math.max(1, inputTokens) + ((load?.waiting ?? 0) * (this._firstEventMs.meanX ?? inputTokens));
	}
}

function outputTokens({expectedOutputTokens, maxOutputTokens}: GenerationInfo): number {
	return Math.max(1, expectedOutputTokens ?? maxOutputTokens);
}
