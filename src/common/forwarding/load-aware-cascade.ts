import {LatencyAverage} from './latency-average.js';
import {type ModelContext, type ModelPolicy} from './model-policy.js';

/**
Load up to which every answer with a low confidence is escalated; at load 1 the largest model can no longer answer in time.
In between, the confidence threshold falls linearly to 0, because attempts in flight do not show in any latency yet.
*/
const fullEscalationLoad = 0.5;

/**
Asks the smallest model first, and the largest one when the confidence is low and the largest one can still answer in time.

Under a high load, the largest model would take all of the engines' time. Its latency rises first; using it less often
then keeps all other answers on time.
*/
export class LoadAwareCascade implements ModelPolicy {
	private readonly _latencies = new Map<string, LatencyAverage>();

	constructor(
		/** Minimum confidence, from 0 to 100, of an answer that is accepted. */
		private readonly _threshold: number,
		/** Safety factor on the expected latency when it is compared with the time until the target latency. */
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

		// The latency of this request reflects the engines' queue earlier than that of the largest model does.
		const expectedMs = Math.max(this._latencies.get(`${route.name}/${largest}`)?.at(now) ?? 0, elapsedMs);
		const load = expectedMs * this._margin / Math.max(1, route.targetLatencyMs - elapsedMs);
		const thresholdFactor = Math.min(1, Math.max(0, (1 - load) / (1 - fullEscalationLoad)));
		return confidence < this._threshold * thresholdFactor ? largest : undefined;
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
