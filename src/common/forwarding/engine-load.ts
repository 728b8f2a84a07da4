import {type GenerationInfo} from './forward-request.js';
import {LoadIndex} from './load-index.js';
import {outputTokens} from './output-tokens.js';

/** Load of the engines of a service, measured with the models that requests ask first. */
export class EngineLoad {
	private readonly _firstEvent = new LoadIndex();
	private readonly _output = new LoadIndex();

	/** Ratio of the present times to the first event to the usual ones. */
	firstEventAt(now: number): number {
		return this._firstEvent.at(now);
	}

	/** Ratio of the present times from the first to the last event to the usual ones. */
	outputAt(now: number): number {
		return this._output.at(now);
	}

	/** Records the time in milliseconds from sending a request to its first event, or to its abort. */
	recordFirstEvent(model: string, {inputTokens}: GenerationInfo, elapsedMs: number, now: number): void {
		this._firstEvent.add(model, inputTokens, elapsedMs, now);
	}

	/** Records the time in milliseconds from the first to the last event of an answer. */
	recordEnd(model: string, generation: GenerationInfo, elapsedMs: number, now: number): void {
		this._output.add(model, outputTokens(generation), elapsedMs, now);
	}
}
