import {type AnswerCollector} from './answer-collector.js';
import {type EntryServices} from './entry-services.js';
import {type RequestContext} from './request-context.js';
import {type StepRun} from './step-run.js';

/** Reports a failed attempt to the cascade policy, as evidence against the version. */
export function reportFailure(services: EntryServices, ctx: RequestContext, {ref, index}: StepRun, attempt: {attemptId: string; collector: AnswerCollector}): void {
	const {attemptId, collector} = attempt;
	services.policy.observe({
		attemptId,
		service: ctx.document.service,
		requestClass: ctx.requestClass,
		ref,
		step: index,
		result: collector.tokens > 0 ? 'truncated' : 'error',
		ratingProbability: 0,
		inputTokens: ctx.inputTokens,
		outputTokens: collector.tokens,
		firstTokenMs: collector.firstTokenMs,
		betweenTokensMs: collector.betweenTokensMs,
	});
}
