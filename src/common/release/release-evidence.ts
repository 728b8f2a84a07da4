import {renewalSection} from '../control/renewal-section.js';

/** Outcomes of requests of one route at one release since the order of the roll-out, as one process of an entry host saw them. */
export interface ReleaseCounts {
	readonly service: string;
	readonly release: string;
	readonly route: string;
	readonly answers: number;
	/** Answers that the backend server itself failed. */
	readonly failures: number;
	/** Sum of the natural logarithms of the times to the head of an answer, in milliseconds. */
	readonly logLatency: number;
	/** Sum of their squares. */
	readonly logLatencySquares: number;
}

/** Outcomes that entry hosts send with their renewals: cumulative, so that a repeated or lost one does no harm. */
export const releaseSection = renewalSection<readonly ReleaseCounts[], never>('releases');
