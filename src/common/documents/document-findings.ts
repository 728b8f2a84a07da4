import {serviceDocumentSchema, type ServiceDocument} from './service-document.js';
import {serviceKind} from './service-kind.js';

/** A field of a valid document that has no effect or contradicts another one. */
export interface Finding {
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
}

/** Returns the entries of a valid service document that can never match or take effect, and limits that contradict each other. */
export function documentFindings(document: ServiceDocument): Finding[] {
	return [...customerFindings(document), ...versionFindings(document), ...limitFindings(document), ...rolloutFindings(document)];
}

function * customerFindings({customers, limits}: ServiceDocument): Generator<Finding> {
	for (const [index, {keySha256, tokensPerSecond}] of customers.entries()) {
		const path = ['customers', index];
		const owner = customers.findIndex(other => other.keySha256 === keySha256);
		if (owner < index) {
			yield {path: [...path, 'keySha256'], message: `never matches, because ${customers[owner]!.name} has the same key`};
		}

		const tokens = tokensPerSecond === undefined ? Infinity : tokensPerSecond * limits.deadlineMs / 1000;
		if (tokens < limits.maxTokens) {
			yield {path: [...path, 'tokensPerSecond'], message: `allows ${Math.floor(tokens)} tokens within limits.deadlineMs, less than one answer of limits.maxTokens (${limits.maxTokens})`};
		}
	}
}

function * versionFindings({versions, customers, sessions, kind, quality}: ServiceDocument): Generator<Finding> {
	for (const [index, ref] of versions.entries()) {
		if (versions.indexOf(ref) < index) {
			yield {path: ['versions', index], message: `${ref} is listed twice`};
		} else if (customers.every(({allow}) => allow && !allow.includes(ref))) {
			yield {path: ['versions', index], message: `${ref} is never used, because no customer may use it`};
		}
	}

	if (sessions.startOn !== undefined) {
		yield {path: ['sessions', 'startOn'], message: 'has no effect in this release; the policy chooses the version on which a session starts'};
	}

	if (kind === serviceKind.plain && quality.target > 0) {
		yield {path: ['quality', 'target'], message: 'has no effect on a plain service'};
	}
}

const defaultLimits = serviceDocumentSchema.shape.limits.parse(undefined);

function * limitFindings({limits, objectives}: ServiceDocument): Generator<Finding> {
	if (limits.maxConcurrent !== defaultLimits.maxConcurrent) {
		yield {path: ['limits', 'maxConcurrent'], message: 'has no effect in this release; the flag --max-concurrent of the daemons limits concurrent requests'};
	}

	for (const [index, objective] of objectives.entries()) {
		for (const name of ['firstTokenMs', 'betweenTokensMs'] as const) {
			const limit = objective[name];
			if (limit !== undefined && limit >= limits.deadlineMs) {
				yield {path: ['objectives', index, name], message: `is not below limits.deadlineMs (${limits.deadlineMs}), so no answer in time can miss it`};
			}
		}
	}
}

function * rolloutFindings({rollout}: ServiceDocument): Generator<Finding> {
	if (!rollout) {
		return;
	}

	const {from, to, steps} = rollout;
	if (from === to) {
		yield {path: ['rollout', 'to'], message: 'is the version of rollout.from, so the roll-out is taken back at once'};
	}

	for (const [index, step] of steps.entries()) {
		if (index > 0 && step <= steps[index - 1]!) {
			yield {path: ['rollout', 'steps', index], message: `is not above the step before it (${steps[index - 1]})`};
		}
	}

	if (steps.at(-1)! < 100) {
		yield {path: ['rollout', 'steps', steps.length - 1], message: `ends the roll-out with ${steps.at(-1)} % on the new version`};
	}
}
