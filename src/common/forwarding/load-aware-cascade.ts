import {LatencyAverage} from './latency-average.js';
import {type ModelContext, type ModelPolicy} from './model-policy.js';

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
		if (largest === undefined || model === largest || confidence >= this._threshold) {
			return undefined;
		}

		const expectedMs = this._latencies.get(`${route.name}/${largest}`)?.at(now) ?? 0;
		return expectedMs * this._margin <= route.targetLatencyMs - elapsedMs ? largest : undefined;
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
