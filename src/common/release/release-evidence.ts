import {renewalSection} from '../control/renewal-section.js';
import {type ValueHistogram} from './value-histogram.js';

/** Outcomes of one route and model at one release since the start of the roll-out, counted by one process of an entry host. */
export interface ReleaseCounts {
	/** Revision of the start of the roll-out. */
	readonly rollout: number;
	readonly service: string;
	readonly release: string;
	readonly route: string;
	/** Undefined for requests to plain services. */
	readonly model?: string;
	/** Attempts that were sent. */
	readonly sent: number;
	/** Attempts with an answer, or with a broken one. */
	readonly answers: number;
	/** Answers with an error status of the backend server. */
	readonly failures: number;
	/** Attempts without a complete answer; counted once for a server that has stopped to answer. */
	readonly broken: number;
	/** Times from sending an attempt to the head of its answer in milliseconds; also of attempts that were given up before it. */
	readonly headMs: ValueHistogram;
	/** Paces of the bodies of answers in microseconds for 1,024 bytes. */
	readonly paceUs: ValueHistogram;
	/** In the last row of a part: number of rows that this leader has never received and that follow with the next parts; absent when there are none. */
	readonly missing?: number;
}

/**
Section of the renewals with the outcomes of an entry host that have changed since this leader acknowledged them. The counts are
cumulative, so repeated or lost messages do no harm.
*/
export const releaseSection = renewalSection<readonly ReleaseCounts[], never>('release-outcomes');
