import {type VersionRef} from '../documents/version-ref.js';
import {type Plan} from '../routing/plan.js';
import {type EntryServices} from './entry-services.js';
import {type RequestContext} from './request-context.js';
import {type ServerSelector} from './server-selector.js';
import {availableVersions} from './version-candidates.js';

/** Constraints on a plan. */
export interface PlanConstraints {
	/** Version to which the session is pinned. */
	readonly required?: VersionRef;
	/** Whether the plan must have a single step, as when the version of a new session is chosen. */
	readonly isSingleStep?: boolean;
}

/** Asks the cascade policy for the steps of a request. */
export function planRequest(services: EntryServices, ctx: RequestContext, serverSelector: ServerSelector, {required, isSingleStep}: PlanConstraints): Plan {
	const versions = availableVersions(services.view, ctx).filter(({ref}) => required === undefined
		? services.gate.allows({service: ctx.document.service, requestClass: ctx.requestClass, key: ctx.session ?? ctx.requestId}, ref)
		: ref === required);
	return services.policy.plan({
		service: ctx.document.service,
		requestClass: ctx.requestClass,
		urgency: ctx.urgency,
		deadlineMs: ctx.deadlineAt - services.clock.now(),
		inputTokens: ctx.inputTokens,
		maxTokens: ctx.maxTokens,
		candidates: versions.map(({ref, inputCost, outputCost, servers}) => ({
			ref, inputCost, outputCost, expectedFirstTokenMs: serverSelector.expectedFirstTokenMs(servers), replaces: replacedVersion(services, ctx, ref),
		})),
		pinned: required,
		singleStep: isSingleStep,
		qualityTarget: ctx.document.quality.target,
		qualityConfidence: ctx.document.quality.confidence,
		ratingAvailable: services.ratings.isAvailable,
	});
}

/** Version that the given version replaces in a roll-out. Its estimates are used until the new version has its own. */
function replacedVersion({view}: EntryServices, {document: {service}}: RequestContext, ref: VersionRef): VersionRef | undefined {
	const state = view.rollouts.get(service);
	return state?.to === ref ? state.from : undefined;
}
