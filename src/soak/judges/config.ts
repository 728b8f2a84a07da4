import {Grants} from './grants.js';
import {
	answered, answerEnd, type Judge, type SoakHistory,
} from './soak-history.js';

/** Time in milliseconds after an acknowledgement from which reads must not return an older version. */
const configApplyMs = 2500;
/** Time in milliseconds after a route's time limit by which its requests must have been answered. */
const lateMs = 500;
const minLate = 8;
const maxLateShare = 0.25;
/** Statuses by which a host says that a key or route is not in its configuration. */
const deniedStatuses: ReadonlySet<number | undefined> = new Set([401, 403, 404]);
/** Statuses of the 4xx range after which an operator sends the same again. */
const retryStatuses: ReadonlySet<number> = new Set([408, 429]);

/** CONFIG: hosts act on an older configuration than they may, or keep requests beyond their route's time limit. */
export const judgeConfig: Judge = history => [...removedInUse(history), ...denied(history), ...late(history)];

/** CONFIG: control hosts lose, change, refuse or do not return configurations. */
export const judgeConfigReads: Judge = history => {
	const newest = (before: number) => Math.max(0, ...history.acknowledgements.filter(({at}) => at < before).map(({configuration}) => configuration.version));
	const first = new Map<number, string>();
	return [
		...history.refusedConfigurations.filter(({status}) => status >= 400 && status < 500 && !retryStatuses.has(status)).map(({version, status}) => `version ${version} was refused with ${status}`),
		...history.unreadable.map(host => `${host} did not return the configuration in time`),
		...history.reads.flatMap(({host, version, text, sentAt}) => {
			const isKnown = history.sentConfigurations.some(sent => sent.version === version && sent.text === text);
			const isSame = (first.get(version) ?? text) === text;
			first.set(version, first.get(version) ?? text);
			return [
				...(version < newest(sentAt - configApplyMs) ? [`version ${version} was read from ${host}, ${newest(sentAt - configApplyMs)} is in force`] : []),
				...(isKnown ? [] : [`version ${version} was read from ${host} with ${text.length} characters, which nobody sent`]),
				...(isSame ? [] : [`version ${version} was read from ${host} with other content than before`]),
			];
		}),
		...(history.lastVersions.size === 0 ? ['no control host was read at the end'] : []),
		...[...history.lastVersions].filter(([, version]) => (version ?? -1) < newest(Infinity)).map(([host, version]) => `version ${version ?? 'none'} was read from ${host} at the end, ${newest(Infinity)} was acknowledged`),
	];
};

function removedInUse(history: SoakHistory): string[] {
	const grants = new Grants(history);
	return [...history.runs.keys()].flatMap(id => {
		const request = history.requests.get(id);
		return request?.grants.filter(grant => grants.isRemoved(grant, request.sentAt)).map(grant => `${id} ran with ${grant}, which had been removed`) ?? [];
	});
}

function denied(history: SoakHistory): string[] {
	const grants = new Grants(history);
	return answered(history).filter(({request, outcome}) => deniedStatuses.has(outcome.status) && request.grants.every(grant => grants.isInForce(grant, request.sentAt))).map(({request, outcome}) => `${request.id} with ${request.grants.join(' and ')} was refused with ${outcome.status}`);
}

function late(history: SoakHistory): string[] {
	const overdue = answered(history).filter(({request, outcome}) => history.isFaultFree && outcome.end !== answerEnd.left && outcome.endedAt - request.sentAt > request.timeoutMs);
	const open = overdue.filter(({request, outcome}) => outcome.endedAt - request.sentAt > request.timeoutMs + lateMs);
	return open.length >= minLate && open.length > overdue.length * maxLateShare ? [`${open.length} of ${overdue.length} requests had no final answer half a second after their route's time limit: ${open.map(({request}) => request.id).join(' ')}`] : [];
}
