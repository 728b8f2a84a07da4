import {renewalSection} from '../control/renewal-section.js';
import {type EvidenceReport} from './evidence-counters.js';

/** Leader's reply to a report: rated answers of new versions over all hosts, by service and version. */
export interface EvidenceReply {
	readonly rated: ReadonlyArray<readonly [service: string, ref: string, rated: number]>;
}

/** Section of the renewal that carries the counters of the entry hosts to the leader. */
export const evidenceSection = renewalSection<EvidenceReport, EvidenceReply>('evidence');
