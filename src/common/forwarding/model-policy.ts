import {type GenerationInfo} from './forward-request.js';
import {type Route} from './routing-config.js';

/** What the choice of a model depends on. */
export interface ModelContext {
	readonly route: Route;
	readonly generation: GenerationInfo;
	/** Time in milliseconds since the request arrived. */
	readonly elapsedMs: number;
	readonly now: number;
}

/** Chooses among the models that a route allows. */
export interface ModelPolicy {
	/** Model of the first attempt. */
	first(context: ModelContext): string;
	/** Larger model to ask instead of accepting an answer; undefined accepts it. */
	escalate(context: ModelContext, model: string, confidence: number): string | undefined;
	/** Takes in the time in milliseconds from sending a request to the head of its answer, or until it was given up. */
	observe(context: ModelContext, model: string, latencyMs: number): void;
}
