import {hashString} from '../base/hash-string.js';
import {renewalSection} from '../control/renewal-section.js';

/**
What one host has observed of one process since its last report: hash of the process, then for the time to the first event and
for the pace of events the number of observations and the mean logarithm of observed / expected time, in hundredths.
*/
export type SpeedItem = readonly [process: number, firstCount: number, first: number, paceCount: number, pace: number];

/** Part of a renewal. */
export interface SpeedReport {
	/** Number of the last change of a weight that the host has received in this term. */
	readonly seen: number;
	readonly items: readonly SpeedItem[];
}

/** Weight of a process: its hash, and the logarithm of the weight in steps of `weightStep`. */
export type WeightItem = readonly [process: number, level: number];

/** Part of the reply to a renewal. */
export interface SpeedReply {
	/** Number of the last change among the weights; all later ones follow with the next replies. */
	readonly upTo: number;
	/** Weights that have changed. Processes that were never named have weight 1. */
	readonly weights: readonly WeightItem[];
}

/** Section of the renewals in which entry hosts report how fast servers are, and the leader returns their weights. */
export const speedSection = renewalSection<SpeedReport, SpeedReply>('speeds');

/** Maximum numbers of items in a part: of at most 28 and 17 bytes, so that a part stays below 900 bytes. */
export const maxItems = {report: 30, reply: 50} as const;
/** Minimum interval in milliseconds between two parts in one direction; with the maximum size of a part it bounds the bytes a second. Renewals follow each other faster while configurations change. */
export const minPartIntervalMs = 900;
/** Step of the logarithm of a weight; a finer one would only send more changes. */
export const weightStep = 0.1;

/** Number of a process in the messages. Processes with the same number, one pair in 4 billion, share their weight. */
export function processNumber(key: string): number {
	return hashString(key);
}
