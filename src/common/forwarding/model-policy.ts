import {type GenerationInfo} from './forward-request.js';
import {type Route} from './routing-config.js';

/** Inputs to the choice of a model. */
export interface ModelContext {
	readonly route: Route;
	readonly generation: GenerationInfo;
	/** Time in milliseconds since the request arrived. */
	readonly elapsedMs: number;
	readonly now: number;
}

/** Chooses among the models that a route allows. */
export interface ModelPolicy {
	/** Returns the model of the first attempt. */
	first(context: ModelContext): string;
	/** Returns a larger model to ask instead of accepting an answer; undefined accepts the answer. */
	escalate(context: ModelContext, model: string, confidence: number): string | undefined;
	/** Records the time in milliseconds from sending an attempt to the head of its answer, or to its timeout. */
	observe(context: ModelContext, model: string, latencyMs: number): void;
}
