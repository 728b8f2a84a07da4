import {type VersionRef} from '../documents/version-ref.js';

/**
Cumulative counters of one key on one incarnation of an entry host, as a compact JSON array:
answers, failed (error, empty or truncated) answers, slow answers, rated answers, answers rated low.
*/
export type EvidenceCounters = [answers: number, failed: number, slow: number, rated: number, ratedLow: number];

/** Cumulative counters that a host reports with its renewals; repeated and reordered reports are harmless. */
export interface EvidenceReport {
	readonly host: string;
	readonly incarnation: number;
	readonly counters: Readonly<Record<string, EvidenceCounters>>;
}

/** Identifies what a set of counters refers to. */
export interface EvidenceSubject {
	readonly service: string;
	readonly requestClass: string;
	readonly ref: VersionRef;
	/** Whether the request was escalated; such requests are harder, so they are counted separately. */
	readonly escalated: boolean;
}

/** Key of a subject in a report. */
export function evidenceKey({service, requestClass, ref, escalated}: EvidenceSubject): string {
	return `${service}|${requestClass}|${ref}|${escalated ? 1 : 0}`;
}

/** Parses the key of a subject. */
export function evidenceSubject(key: string): EvidenceSubject {
	const [service, requestClass, ref, escalated] = key.split('|') as [string, string, string, string];
	return {
		service, requestClass, ref, escalated: escalated === '1',
	};
}

/** Counters at zero. */
export function emptyCounters(): EvidenceCounters {
	return [0, 0, 0, 0, 0];
}
