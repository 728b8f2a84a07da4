import {renewalSection} from '../control/renewal-section.js';

/** Outcomes of one route at one release since the start of the roll-out, counted by one process of an entry host. */
export interface ReleaseCounts {
	readonly service: string;
	readonly release: string;
	readonly route: string;
	readonly answers: number;
	/** Answers with an error status of the backend server. */
	readonly failures: number;
	/** Sum of the natural logarithms of the latencies in milliseconds, measured to the head of an answer. */
	readonly logLatency: number;
	/** Sum of the squares of those logarithms. */
	readonly logLatencySquares: number;
}

/** Section of the renewals with the outcomes of an entry host. The counts are cumulative, so repeated or lost messages do no harm. */
export const releaseSection = renewalSection<readonly ReleaseCounts[], never>('releases');
