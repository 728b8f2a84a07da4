import {type ModelContext, type ModelPolicy} from './model-policy.js';
import {type AnswerTimes} from './model-speed.js';

/**
Load up to which every answer with a low confidence is escalated; at load 1 the largest model can no longer answer in time.
In between, the confidence threshold falls linearly to 0, so that the largest model is spent on the least confident answers.
*/
const fullEscalationLoad = 0.5;

/** Relative increase of the margin for each step of a less urgent priority, so that the largest model is spent on urgent routes first. */
const urgencyStep = 0.4;

/**
Asks the smallest model first, and the largest one when the confidence is low and the largest one can still answer in time.

Under a high load, the largest model would take all of the engines' time. Its expected latency rises first; using it less
often then keeps all other answers on time.
*/
export class LoadAwareCascade implements ModelPolicy {
	constructor(
		/** Minimum confidence, from 0 to 100, of an answer that is accepted. */
		private readonly _threshold: number,
		/** Safety factor on the expected times of the largest model's answer. */
		private readonly _margin: number,
	) {}

	first({route}: ModelContext): string {
		return route.models[0]!;
	}

	larger({route}: ModelContext, model: string, confidence: number): string | undefined {
		const largest = route.models.at(-1);
		return model !== largest && confidence < this._threshold ? largest : undefined;
	}

	escalates({route, elapsedMs, remainingMs}: ModelContext, confidence: number, {firstEventMs, lastEventMs}: AnswerTimes): boolean {
		// The wait of this request reflects the engines' queue earlier than the answers of the largest model do.
		const expectedMs = Math.max(firstEventMs, elapsedMs);
		const load = Math.max(expectedMs / Math.max(1, route.targetLatencyMs - elapsedMs), lastEventMs / Math.max(1, remainingMs)) * this._margin * (1 + (route.priority * urgencyStep));
		const thresholdFactor = Math.min(1, Math.max(0, (1 - load) / (1 - fullEscalationLoad)));
		return confidence < this._threshold * thresholdFactor;
	}
}
