import {z} from 'zod';
import {urgency} from './urgency.js';

/** Schema of one service-level objective. A request is good when it meets all limits of the objective. */
export const objectiveSchema = z.strictObject({
	/** Urgency to which the objective applies; all urgencies when absent. */
	urgency: z.enum(urgency).optional(),
	/** Maximum time to first token of a good request in milliseconds. */
	firstTokenMs: z.number().positive().optional(),
	/** Maximum time between tokens of a good request in milliseconds. */
	betweenTokensMs: z.number().positive().optional(),
	/** Minimum rating of a good answer in [0, 1]; only rated answers count. */
	minRating: z.number().gt(0).max(1).optional(),
	/** Counts an answer as bad if its version is quarantined or withdrawn shortly afterwards. */
	exposure: z.literal(true).optional(),
	/** Counts a request as bad if the system refused it or failed to answer it. */
	refusals: z.literal(true).optional(),
	/** Fraction of requests that must be good. */
	goodShare: z.number().gt(0).lt(1),
}).superRefine((objective, ctx) => {
	const {firstTokenMs, betweenTokensMs, minRating, exposure, refusals} = objective;
	const isLatency = firstTokenMs !== undefined || betweenTokensMs !== undefined;
	const kinds = [isLatency, minRating !== undefined, exposure, refusals].filter(Boolean).length;
	if (kinds !== 1) {
		ctx.addIssue({code: 'custom', message: 'an objective has either time limits, minRating, exposure or refusals'});
	}
});

/** A service-level objective. */
export type Objective = z.output<typeof objectiveSchema>;

/** Name of an objective, unique within its service: the urgency, if it is restricted to one, and what it measures. */
export function objectiveName({urgency, firstTokenMs, betweenTokensMs, minRating, exposure}: Objective): string {
	const times = [firstTokenMs !== undefined && 'first-token', betweenTokensMs !== undefined && 'between-tokens'].filter(Boolean).join('+');
	const measure = times || (minRating === undefined ? (exposure ? 'exposure' : 'refusals') : 'quality');
	return urgency === undefined ? measure : `${urgency}/${measure}`;
}
