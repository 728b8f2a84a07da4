import {DecayedLine} from './decayed-line.js';
import {type EngineLoad} from './engine-load.js';
import {type GenerationInfo} from './forward-request.js';
import {outputTokens} from './output-tokens.js';

/** Half-life in milliseconds of the samples; a host sends about one request a second to a large model. */
const halfLifeMs = 10_000;
/**
Half-life of the samples in milliseconds and in samples when the expected times follow the load, so that the many samples of a
burst do not outweigh the few ones after it where the load of the engines shows little in the times of the smallest model.
*/
const followingHalfLifeMs = 3000;
const followingHalfLifeSamples = 10;

/** Time in milliseconds without a sample after which the expected times begin to decay, so that the model is asked again. */
const decayAfterMs = 5000;
/** Half-life in milliseconds of the decay. */
const decayHalfLifeMs = 5000;

/** Expected times of an answer in milliseconds from sending the request. */
export interface AnswerTimes {
	readonly firstEventMs: number;
	readonly lastEventMs: number;
	/** Load by which the times were corrected; undefined when they do not follow the load. */
	readonly load?: number | undefined;
}

/**
Estimates how long a model takes, from the answers that it gave to this host.

With a load, the samples are stored divided by the load of their time, and an expected time is multiplied by the load of the
present. A model that is hardly asked under a high load is then asked again as soon as the load falls, without samples of its own.
A sample counts as much as the load of its time, so that the lines fit the ratio of the sums of times and of loads; a mean of ratios
would depend on the few samples with the lowest loads.
*/
export class ModelSpeed {
	private readonly _firstEventMs: DecayedLine;
	private readonly _outputMs: DecayedLine;
	private _recordedAt = 0;

	constructor(private readonly _load?: EngineLoad) {
		const createLine = () => _load ? new DecayedLine(followingHalfLifeMs, followingHalfLifeSamples) : new DecayedLine(halfLifeMs);
		this._firstEventMs = createLine();
		this._outputMs = createLine();
	}

	/** Expected times of an answer; 0 before the first one, so that the model is asked. */
	expected(generation: GenerationInfo, now: number): AnswerTimes {
		const factor = 0.5 ** (Math.max(0, now - this._recordedAt - decayAfterMs) / decayHalfLifeMs);
		const load = this._load?.firstEventAt(now);
		const firstEventMs = this._firstEventMs.at(generation.inputTokens) * factor * (load ?? 1);
		const outputMs = this._outputMs.at(outputTokens(generation)) * factor * (this._load?.outputAt(now) ?? 1);
		return {firstEventMs, lastEventMs: firstEventMs + outputMs, load};
	}

	/** Records the time in milliseconds from sending a request to its first event, or to its abort. */
	recordFirstEvent({inputTokens}: GenerationInfo, elapsedMs: number, now: number): void {
		this._recordedAt = now;
		const load = this._load?.firstEventAt(now) ?? 1;
		this._firstEventMs.add(inputTokens, elapsedMs / load, now, load);
	}

	/** Records the time in milliseconds from the first to the last event of an answer. */
	recordEnd(generation: GenerationInfo, elapsedMs: number, now: number): void {
		const load = this._load?.outputAt(now) ?? 1;
		this._outputMs.add(outputTokens(generation), elapsedMs / load, now, load);
	}
}
