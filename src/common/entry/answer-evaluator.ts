import {type VersionRef} from '../documents/version-ref.js';
import {type AttemptOutcome} from '../routing/attempt-outcome.js';
import {type RatingRequest} from '../routing/rating-client.js';
import {type PlanStep} from '../routing/plan.js';
import {type EntryServices} from './entry-services.js';
import {type RequestContext} from './request-context.js';
import {type StepAnswer} from './step-answer.js';

type Evaluation = {readonly index: number; readonly ratingProbability: number; readonly isDelivered: boolean; readonly isRated: boolean};

/** Decides whether the answer of a step is accepted, and reports answers and ratings to the cascade policy. */
export class AnswerEvaluator {
	/** Rejected answers of this request. The policy uses them to compare versions on requests of equal difficulty. */
	private readonly _earlierAnswers: Array<{ref: VersionRef; confidence: number}> = [];
	/** Whether all earlier answers were rejected regardless of their confidence, as during exploration. */
	private _areRejectionsUnconditional = true;

	constructor(private readonly _services: EntryServices, private readonly _ctx: RequestContext) {}

	/** Returns whether the answer is accepted. If the engine reports no confidence, the rating service decides. */
	async accepts(answer: StepAnswer, step: PlanStep, index: number, signal: AbortSignal): Promise<boolean> {
		if (answer.confidence === undefined) {
			return this._acceptsByRating(answer, index, signal);
		}

		const isAccepted = answer.text.length > 0 && answer.confidence >= step.minConfidence!;
		this._observe(answer, index, step.ratingProbability, isAccepted);
		this._areRejectionsUnconditional &&= step.minConfidence === 1;
		this._earlierAnswers.push({ref: answer.ref, confidence: answer.confidence});
		return isAccepted;
	}

	/** Reports an answer that is always delivered. If it is sampled for rating, its rating is reported later. */
	observeDelivered(answer: StepAnswer, index: number, ratingProbability: number): void {
		this._observe(answer, index, ratingProbability, true);
	}

	private _observe(answer: StepAnswer, index: number, ratingProbability: number, isDelivered: boolean): void {
		const evaluation: Evaluation = {
			index, ratingProbability, isDelivered, isRated: this._services.random.next() < ratingProbability,
		};
		this._report(answer, evaluation);
		if (evaluation.isRated) {
			void this._rateInBackground(answer, evaluation);
		}
	}

	private async _acceptsByRating(answer: StepAnswer, index: number, signal: AbortSignal): Promise<boolean> {
		const rating = await this._rate(answer, signal);
		const isAccepted = rating !== undefined && rating >= this._ctx.document.quality.target;
		const evaluation: Evaluation = {
			index, ratingProbability: 1, isDelivered: isAccepted, isRated: rating !== undefined,
		};
		this._report(answer, evaluation);
		if (rating !== undefined) {
			this._report(answer, evaluation, rating);
		}

		return isAccepted;
	}

	private async _rateInBackground(answer: StepAnswer, evaluation: Evaluation): Promise<void> {
		const rating = await this._services.backgroundRatings.rate(this._ratingRequest(answer));
		if (rating !== undefined) {
			this._report(answer, evaluation, rating);
		}
	}

	private _ratingRequest({attemptId, text}: StepAnswer): RatingRequest {
		return {
			attemptId, service: this._ctx.document.service, prompt: this._ctx.prompt, answer: text,
		};
	}

	private async _rate(answer: StepAnswer, signal: AbortSignal): Promise<number | undefined> {
		try {
			return await this._services.ratings.rate(this._ratingRequest(answer), signal);
		} catch {
			this._services.counters.increment('entry.rating.failed', 1, {service: this._ctx.document.service});
			return undefined;
		}
	}

	private _report(answer: StepAnswer, {index, ratingProbability, isDelivered, isRated}: Evaluation, rating?: number): void {
		const isEmpty = answer.text.length === 0 && answer.usage.outputTokens === 0;
		const outcome: AttemptOutcome = {
			attemptId: answer.attemptId,
			service: this._ctx.document.service,
			requestClass: this._ctx.requestClass,
			ref: answer.ref,
			step: index,
			earlier: index === 0 ? undefined : [...this._earlierAnswers],
			unconditional: index > 0 && this._areRejectionsUnconditional,
			delivered: isDelivered,
			pinned: this._ctx.session !== undefined && this._ctx.document.sessions.sticky,
			result: isEmpty ? 'empty' : 'answered',
			confidence: answer.confidence,
			rating,
			ratingRequested: isRated,
			ratingProbability,
			...answer.usage,
			firstTokenMs: answer.firstTokenMs,
			betweenTokensMs: answer.betweenTokensMs,
		};
		this._services.policy.observe(outcome);
	}
}
