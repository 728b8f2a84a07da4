import {z} from 'zod';
import {objectiveName, objectiveSchema} from './objective.js';
import {serviceKind} from './service-kind.js';
import {urgency} from './urgency.js';

const name = z.string().regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'must be lower-case letters, digits and hyphens, at most 63 characters');
const ref = z.string().regex(/^[a-z\d][a-z\d.\-]*@[a-z\d][a-z\d.\-]*$/v, 'must have the form model@version');
const urgencySchema = z.enum(urgency);

const customerSchema = z.strictObject({
	name,
	/** SHA-256 of the bearer key, in hexadecimal. */
	keySha256: z.string().regex(/^[\da-f]{64}$/v, 'must be 64 hexadecimal digits'),
	/** Versions that the customer may use; all versions of the service when absent. */
	allow: z.array(ref).min(1).optional(),
	/** Weight of the customer for its fair share of the service. */
	weight: z.number().positive().max(1000).default(1),
	requestsPerSecond: z.number().positive().optional(),
	tokensPerSecond: z.number().positive().optional(),
});

const rolloutSchema = z.strictObject({
	from: ref,
	to: ref,
	/** Percentage of new sessions and requests on the new version at each step. */
	steps: z.array(z.number().min(0).max(100)).min(1).default([1, 5, 25, 50, 100]),
	/** Minimum time at each step in seconds. */
	stepSeconds: z.number().positive().default(600),
	/** Number of rated answers required at a step before the next one starts. */
	minRated: z.int().min(0).default(50),
	paused: z.boolean().default(false),
});

/** Schema of the document of one service. */
export const serviceDocumentSchema = z.strictObject({
	service: name,
	kind: z.enum(serviceKind).default(serviceKind.model),
	customers: z.array(customerSchema).min(1),
	/** Versions that the service may use, cheapest first; empty for plain services. */
	versions: z.array(ref).default([]),
	quality: z.strictObject({
		/** Required mean rating in [0, 1]. */
		target: z.number().min(0).max(1),
		/** Confidence with which the target must be met. */
		confidence: z.number().min(0.5).max(0.999).default(0.95),
	}).default({target: 0, confidence: 0.95}),
	sessions: z.strictObject({
		/** Whether requests of one session stay on one version. */
		sticky: z.boolean().default(true),
		/** Version on which new sessions start; chosen by the policy when absent. */
		startOn: ref.optional(),
	}).default({sticky: true}),
	urgency: urgencySchema.default(urgency.normal),
	limits: z.strictObject({
		maxBodyBytes: z.int().positive().max(64 * 1024 * 1024).default(1_048_576),
		maxTokens: z.int().positive().default(4096),
		deadlineMs: z.int().positive().default(60_000),
		maxConcurrent: z.int().positive().default(1000),
	}).default({
		maxBodyBytes: 1_048_576, maxTokens: 4096, deadlineMs: 60_000, maxConcurrent: 1000,
	}),
	objectives: z.array(objectiveSchema).default([]),
	rollout: rolloutSchema.optional(),
}).superRefine((doc, ctx) => {
	const known = new Set(doc.versions);
	const check = (value: string | undefined, path: Array<string | number>) => {
		if (value !== undefined && !known.has(value)) {
			ctx.addIssue({code: 'custom', path, message: `${value} is not among the versions of the service`});
		}
	};

	if (doc.kind === serviceKind.model && doc.versions.length === 0) {
		ctx.addIssue({code: 'custom', path: ['versions'], message: 'a model service needs at least one version'});
	}

	if (doc.kind === serviceKind.plain && doc.versions.length > 0) {
		ctx.addIssue({code: 'custom', path: ['versions'], message: 'a plain service has no versions'});
	}

	for (const [index, customer] of doc.customers.entries()) {
		for (const [at, value] of (customer.allow ?? []).entries()) {
			check(value, ['customers', index, 'allow', at]);
		}

		if (doc.customers.findIndex(other => other.name === customer.name) < index) {
			ctx.addIssue({code: 'custom', path: ['customers', index, 'name'], message: `${customer.name} is listed twice`});
		}
	}

	const names = doc.objectives.map(objective => objectiveName(objective));
	for (const [index, label] of names.entries()) {
		if (names.indexOf(label) < index) {
			ctx.addIssue({code: 'custom', path: ['objectives', index], message: `a second objective ${label}; give it another urgency or merge the two`});
		}

		if (doc.kind === serviceKind.plain && (doc.objectives[index]!.minRating !== undefined || doc.objectives[index]!.exposure)) {
			ctx.addIssue({code: 'custom', path: ['objectives', index], message: 'a plain service has no quality and no exposure'});
		}
	}

	check(doc.sessions.startOn, ['sessions', 'startOn']);
	check(doc.rollout?.from, ['rollout', 'from']);
	check(doc.rollout?.to, ['rollout', 'to']);
});

/** A validated document of one service, with defaults filled in. */
export type ServiceDocument = z.output<typeof serviceDocumentSchema>;

/** A customer as listed in a document. */
export type DocumentCustomer = ServiceDocument['customers'][number];
