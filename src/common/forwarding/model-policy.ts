import {type GenerationInfo} from './forward-request.js';
import {type AnswerTimes} from './model-speed.js';
import {type Route} from './routing-config.js';

/** Inputs to the choice of a model. */
export interface ModelContext {
	readonly route: Route;
	readonly generation: GenerationInfo;
	/** Time in milliseconds since the request arrived. */
	readonly elapsedMs: number;
	/** Time in milliseconds until the request times out. */
	readonly remainingMs: number;
}

/** Chooses among the models that a route allows. */
export interface ModelPolicy {
	/** Returns the model of the first attempt. */
	first(context: ModelContext): string;
	/** Returns the larger model that could improve an answer; undefined accepts the answer. */
	larger(context: ModelContext, model: string, confidence: number): string | undefined;
	/** Whether to ask the larger model, given the confidence of the answer and the expected times of the larger model's answer. */
	escalates(context: ModelContext, confidence: number, expected: AnswerTimes): boolean;
}
