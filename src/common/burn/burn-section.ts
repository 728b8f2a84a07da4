import {type BurnCountRow} from '../control/burn-sums.js';
import {renewalSection} from '../control/renewal-section.js';

/** Requests of one bucket; the counts never decrease. */
export type BurnBucket = readonly [bucket: number, rows: readonly BurnCountRow[]];

/** Counts of one process of an entry host. A report contains only rows that changed since the last report, unless it is a full one. */
export interface BurnReport {
	/** Start of the process in Unix milliseconds; distinguishes the processes of a host. */
	readonly startedAt: number;
	/** Unix milliseconds at the entry host; hours that ended before are complete. */
	readonly at: number;
	/** By whole minutes since the Unix epoch, without versions and customers. */
	readonly minutes: readonly BurnBucket[];
	/** By whole hours since the Unix epoch, with versions and customers. */
	readonly hours: readonly BurnBucket[];
}

/** Counts of all and bad requests, from the entry hosts to the leader. */
export const burnSection = renewalSection<BurnReport, never>('burn');
