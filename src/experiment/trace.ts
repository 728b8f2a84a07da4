import {z} from 'zod';
import {urgency} from '../common/documents/urgency.js';

const versionSchema = z.strictObject({
	ref: z.string(), inputCost: z.number(), outputCost: z.number(), replaces: z.string().optional(),
});

const engineSchema = z.strictObject({
	id: z.string(), zone: z.string(), ref: z.array(z.string()).min(1), slots: z.int().positive(),
	prefillRate: z.number().positive(), tokenMs: z.number().positive(), prefixCapacity: z.int().min(0),
});

const headerSchema = z.strictObject({
	type: z.literal('trace'), format: z.literal(1), name: z.string(), seed: z.int(), service: z.string(),
	qualityTarget: z.number(), qualityConfidence: z.number(), ratingsPerSecond: z.number().positive(),
	versions: z.array(versionSchema).min(1), engines: z.array(engineSchema).min(1),
	rollout: z.strictObject({
		at: z.number(), from: z.string(), to: z.string(), steps: z.array(z.number()), stepSeconds: z.number(), minRated: z.int(),
	}).optional(),
	bad: z.array(z.strictObject({ref: z.string(), requestClass: z.string(), from: z.number()})).optional(),
});

const answerSchema = z.strictObject({
	result: z.enum(['answered', 'error', 'empty', 'truncated']), rating: z.number().min(0).max(1), confidence: z.number().min(0).max(1),
	outputTokens: z.int().min(0), ratingDelayMs: z.number().optional(),
});

const requestSchema = z.strictObject({
	type: z.literal('request'), at: z.number(), id: z.string(), customer: z.string(), session: z.string().optional(), requestClass: z.string(),
	urgency: z.enum(urgency), deadlineMs: z.number(), inputTokens: z.int(), maxTokens: z.int(), prefixes: z.array(z.int()),
	answers: z.record(z.string(), answerSchema),
});

const eventSchema = z.strictObject({
	type: z.literal('event'), at: z.number(), event: z.enum(['engine-failed', 'engine-recovered', 'ratings-down', 'ratings-up']), engine: z.string().optional(),
});

const expectSchema = z.strictObject({
	type: z.literal('expect'), name: z.string(), policy: z.string(), metric: z.string(), atLeast: z.number().optional(), atMost: z.number().optional(),
});

export const traceLineSchema = z.discriminatedUnion('type', [headerSchema, requestSchema, eventSchema, expectSchema]);

/** First line of a trace, with its service, versions and engines. */
export type TraceHeader = z.output<typeof headerSchema>;
/** Engine of a trace. */
export type TraceEngine = z.output<typeof engineSchema>;
/** Answer that a version would give to a request, whether or not it gets the request. */
export type TraceAnswer = z.output<typeof answerSchema>;
/** Request with the answer of each version that its customer may use. */
export type TraceRequest = z.output<typeof requestSchema>;
/** Fault or recovery at a point in time. */
export type TraceEvent = z.output<typeof eventSchema>;
/** Outcome that a replay must reproduce. */
export type TraceExpectation = z.output<typeof expectSchema>;

/** A trace in memory; requests and events are sorted by time. */
export interface Trace {
	readonly header: TraceHeader;
	readonly requests: readonly TraceRequest[];
	readonly events: readonly TraceEvent[];
	readonly expectations: readonly TraceExpectation[];
}
