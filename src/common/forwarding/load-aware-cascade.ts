import {LatencyAverage} from './latency-average.js';
import {type ModelContext, type ModelPolicy} from './model-policy.js';

/**
Part of the load at which the largest model can no longer answer in time, up to which every doubtful answer is asked again.
Above it the most doubtful ones are, fewer and fewer: runs that were just sent do not show in any latency yet.
*/
const fullUntilLoad = 0.5;

/**
Asks the smallest model first and the largest one when the answer is doubtful and the largest one can still answer in time.

Answers loads under which the largest model takes all of the engines' time: its latency rises first, and asking it less
then keeps the answers of all others on time.
*/
export class LoadAwareCascade implements ModelPolicy {
	private readonly _latencies = new Map<string, LatencyAverage>();

	constructor(
		/** Least confidence, from 0 to 100, of an answer that is accepted. */
		private readonly _threshold: number,
		/** Factor by which the expected latency must stay below the time that is left until the target. */
		private readonly _margin: number,
	) {}

	first({route}: ModelContext): string {
		return route.models[0]!;
	}

	escalate({route, elapsedMs, now}: ModelContext, model: string, confidence: number): string | undefined {
		const largest = route.models.at(-1);
		if (largest === undefined || model === largest) {
			return undefined;
		}

		// The run that has just ended shows the engines' queue before the runs of the largest model do.
		const expectedMs = Math.max(this._latencies.get(`${route.name}/${largest}`)?.at(now) ?? 0, elapsedMs);
		const load = expectedMs * this._margin / Math.max(1, route.targetLatencyMs - elapsedMs);
		const openness = Math.min(1, Math.max(0, (1 - load) / (1 - fullUntilLoad)));
		return confidence < this._threshold * openness ? largest : undefined;
	}

	observe({route, now}: ModelContext, model: string, latencyMs: number): void {
		const key = `${route.name}/${model}`;
		let average = this._latencies.get(key);
		if (!average) {
			average = new LatencyAverage();
			this._latencies.set(key, average);
		}

		average.add(latencyMs, now);
	}
}
